package io.hemlockbend.core.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.validation.ConfigurationChecker;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class CommitPlannerProperties {
  private static final TeamName TEAM = new TeamName("t");

  private final CommitPlanner planner =
      new CommitPlanner(ConfigurationChecker.forAcceptance(), FakeTable::digest);

  @Provide
  Arbitrary<List<Change>> changes() {
    Arbitrary<ServiceName> service = Arbitraries.of("a", "b").map(ServiceName::new);
    Arbitrary<VersionName> version = Arbitraries.of("1", "2", "3").map(VersionName::new);
    Arbitrary<VersionKey> key = Combinators.combine(service, version).as(VersionKey::new);
    Arbitrary<RouteName> route = Arbitraries.of("r", "s").map(RouteName::new);
    Arbitrary<FailureDomain> domain = Arbitraries.of("x", "y").map(FailureDomain::new);
    Arbitrary<String> path = Arbitraries.of("/", "/p", "/p/", "q");
    Arbitrary<Change> any =
        Arbitraries.oneOf(
            key.map(k -> new Change.AddVersion(k, TEAM)),
            key.map(k -> new Change.AddVersion(k, TEAM)),
            key.map(Change.RemoveVersion::new),
            key.map(k -> new Change.TakeBack(k, new VersionName("1"))),
            key.map(k -> new Change.StartMove(k.service(), k.version(), 0, 99)),
            key.map(k -> new Change.AdvanceMove(k.service(), k.version(), 1000)),
            Combinators.combine(route, path, service)
                .as((r, p, s) -> new Change.PutRoute(new Route(r, p, s, Priority.NORMAL))),
            route.map(Change.RemoveRoute::new),
            domain.map(d -> new Change.Withdraw(d, 0)),
            domain.map(d -> new Change.Restore(d, 0, 5)));
    return any.list().ofMinSize(1).ofMaxSize(6);
  }

  @Provide
  Arbitrary<List<List<Change>>> changeSets() {
    return changes().list().ofMaxSize(8);
  }

  private CommitPlan plan(Configuration base, List<Change> changes) {
    CommitRequest request =
        new CommitRequest(
            new CommitId("c"),
            new Author("o", TEAM, true),
            10,
            Set.of(new FailureDomain("x"), new FailureDomain("y")),
            List.of());
    return planner.plan(Optional.empty(), base, ChangeSet.direct(base.version(), changes), request);
  }

  /** Every accepted configuration is valid at every node and equals its base plus its changes. */
  @Property(seed = "20261204", tries = 2000)
  void everyNodeAppliesAcceptedConfigurations(@ForAll("changeSets") List<List<Change>> sets) {
    Configuration base = Configuration.EMPTY;
    for (List<Change> set : sets) {
      if (plan(base, set) instanceof CommitPlan.Planned planned) {
        assertThat(ConfigurationChecker.forApply().check(planned.next(), Set.of())).isEmpty();
        assertThat(ChangeApplier.apply(base, planned.changes())).isEqualTo(planned.next());
        assertThat(planned.next().version()).isEqualTo(base.version().next());
        base = planned.next();
      }
    }
  }

  /** Change sets that do not overlap commute when both orders are accepted. */
  @Property(seed = "20261204", tries = 5000)
  void setsThatDoNotOverlapCommute(
      @ForAll("changes") List<Change> before,
      @ForAll("changes") List<Change> left,
      @ForAll("changes") List<Change> right) {
    Configuration base =
        plan(Configuration.EMPTY, before) instanceof CommitPlan.Planned p
            ? p.next()
            : Configuration.EMPTY;
    if (ChangeSubject.overlap(left, right)) {
      return;
    }
    Optional<Configuration> one = both(base, left, right);
    Optional<Configuration> other = both(base, right, left);
    if (one.isPresent() && other.isPresent()) {
      assertThat(one).isEqualTo(other);
    }
  }

  private Optional<Configuration> both(
      Configuration base, List<Change> first, List<Change> second) {
    return plan(base, first) instanceof CommitPlan.Planned one
            && plan(one.next(), second) instanceof CommitPlan.Planned two
        ? Optional.of(two.next())
        : Optional.empty();
  }
}
