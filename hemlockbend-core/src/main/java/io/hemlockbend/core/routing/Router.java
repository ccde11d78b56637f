package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.claim.ClaimPlacement;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream for each request. Safe for many threads: it keeps no state of its own.
 *
 * <p>Example: {@code new Router(view).decide(table, request, random)}.
 */
public final class Router {
  private static final double BUSY_LOAD = 1.0;

  private final UpstreamView view;
  private final TwoChoices twoChoices;

  /**
   * Makes a router.
   *
   * @param view what this entry knows of the upstreams
   */
  public Router(UpstreamView view) {
    this.view = view;
    this.twoChoices = new TwoChoices(view);
  }

  /**
   * Decides where a request goes.
   *
   * @param table the table in force
   * @param request the request
   * @param random the source of the draws
   */
  public RoutingDecision decide(
      RoutingTable table, RoutingRequest request, RandomGenerator random) {
    Optional<Route> route = table.route(request.path());
    if (route.isEmpty()) {
      return new RoutingDecision.Refuse(RefusalReason.NO_ROUTE, Optional.empty(), Optional.empty());
    }
    Service service = table.configuration().services().get(route.get().service());
    VersionKey key = VersionSplit.choose(table, service, request);
    return choose(table, route.get(), key, request, random);
  }

  private RoutingDecision choose(
      RoutingTable table,
      Route route,
      VersionKey key,
      RoutingRequest request,
      RandomGenerator random) {
    Pool pool = table.pool(key);
    int ticket = VersionSplit.restoreTicket(request.request());
    Predicate<Candidate> untried = request.exclusions()::admit;
    Predicate<Candidate> healthy = untried.and(c -> !view.ejected(c.upstream()));
    Predicate<Candidate> preferred = healthy.and(c -> ticket < c.sharePermille());
    if (request.key().isPresent()) {
      return place(request.key().get(), pool, List.of(preferred, healthy, untried))
          .<RoutingDecision>map(c -> new RoutingDecision.Forward(route, c, Locality.BY_KEY))
          .orElseGet(() -> refuse(route, key, pool));
    }
    Candidate local = twoChoices.choose(pool.local(), preferred, random);
    if (local != null && twoChoices.load(local) < BUSY_LOAD) {
      return new RoutingDecision.Forward(route, local, Locality.OWN_DOMAIN);
    }
    Locality locality = local == null ? Locality.NONE_LOCAL : Locality.LOCAL_BUSY;
    for (Predicate<Candidate> eligible : List.of(preferred, healthy, untried)) {
      Candidate any = twoChoices.choose(pool.all(), eligible, random);
      if (any != null) {
        return new RoutingDecision.Forward(route, any, locality);
      }
    }
    return refuse(route, key, pool);
  }

  /** Returns the first upstream for the key, so that a resend meets the ledger that knows it. */
  private static Optional<Candidate> place(
      IdempotencyKey key, Pool pool, List<Predicate<Candidate>> preferences) {
    for (Predicate<Candidate> eligible : preferences) {
      List<Candidate> left = pool.all().stream().filter(eligible).toList();
      if (!left.isEmpty()) {
        UpstreamId first =
            ClaimPlacement.order(key, left.stream().map(Candidate::upstream).toList()).getFirst();
        return left.stream().filter(c -> c.upstream().equals(first)).findFirst();
      }
    }
    return Optional.empty();
  }

  private static RoutingDecision refuse(Route route, VersionKey key, Pool pool) {
    RefusalReason reason =
        pool.all().isEmpty() ? RefusalReason.NO_UPSTREAM : RefusalReason.EXHAUSTED;
    return new RoutingDecision.Refuse(reason, Optional.of(route), Optional.of(key));
  }
}
