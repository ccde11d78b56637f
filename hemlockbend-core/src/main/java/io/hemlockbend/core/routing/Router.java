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
 * Chooses an upstream for each request. Thread-safe; it has no mutable state.
 *
 * <p>Example: {@code new Router(view).decide(table, request, random)}.
 */
public final class Router {
  private static final double BUSY_LOAD = 1.0;

  private final UpstreamView view;
  private final TwoChoices twoChoices;

  /**
   * Creates a router.
   *
   * @param view load and health of the upstreams as seen by this entry
   */
  public Router(UpstreamView view) {
    this.view = view;
    this.twoChoices = new TwoChoices(view);
  }

  /**
   * Chooses an upstream for a request, or refuses it.
   *
   * @param table the routing table in force
   * @param request the request
   * @param random the random generator for the power of two choices
   */
  public RoutingDecision decide(
      RoutingTable table, RoutingRequest request, RandomGenerator random) {
    Optional<Route> route = table.route(request.path());
    if (route.isEmpty()) {
      return new RoutingDecision.Refuse(
          RoutingRefusal.NO_ROUTE, Optional.empty(), Optional.empty());
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
    int bucket = VersionSplit.restoreBucket(request.request());
    Predicate<Candidate> untried = request.exclusions()::allows;
    Predicate<Candidate> healthy = untried.and(c -> !view.ejected(c.upstream()));
    Predicate<Candidate> preferred = healthy.and(c -> bucket < c.sharePermille());
    if (request.key().isPresent()) {
      return chooseByKey(request.key().get(), pool, List.of(preferred, healthy, untried))
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

  /** Returns the upstream that the key maps to, so that a resend finds the record of its key. */
  private static Optional<Candidate> chooseByKey(
      IdempotencyKey key, Pool pool, List<Predicate<Candidate>> preferences) {
    for (Predicate<Candidate> eligible : preferences) {
      List<Candidate> eligibleCandidates = pool.all().stream().filter(eligible).toList();
      if (!eligibleCandidates.isEmpty()) {
        UpstreamId first =
            ClaimPlacement.order(key, eligibleCandidates.stream().map(Candidate::upstream).toList())
                .getFirst();
        return eligibleCandidates.stream().filter(c -> c.upstream().equals(first)).findFirst();
      }
    }
    return Optional.empty();
  }

  private static RoutingDecision refuse(Route route, VersionKey key, Pool pool) {
    RoutingRefusal reason =
        pool.all().isEmpty() ? RoutingRefusal.NO_UPSTREAM : RoutingRefusal.EXHAUSTED;
    return new RoutingDecision.Refuse(reason, Optional.of(route), Optional.of(key));
  }
}
