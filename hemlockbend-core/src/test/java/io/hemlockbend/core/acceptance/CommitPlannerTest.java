package io.hemlockbend.core.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
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
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CommitPlannerTest {
  private static final long NOW_MILLIS = 100;
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final ServiceName ORDERS = new ServiceName("orders");
  private static final VersionName V2 = new VersionName("v2");
  private static final TeamName TEAM = new TeamName("tableaux");
  private static final TeamName OTHER = new TeamName("cermin");
  private static final Author ALL = new Author("root", TEAM, true);
  private static final Author MEMBER = new Author("amel", TEAM, false);
  private static final FailureDomain TUNIS = new FailureDomain("tunis");
  private static final Configuration BASE =
      ChangeApplier.apply(
          Configuration.EMPTY,
          List.of(
              add(QUOTES, "v1", TEAM),
              add(QUOTES, "v2", TEAM),
              add(ORDERS, "v1", OTHER),
              route("orders", "/orders", ORDERS)));
  private static final Row CURRENT =
      new Row(
          RowKey.CURRENT,
          7,
          new RowValue.Current(BASE.version(), FakeTable.digest(BASE), new CommitId("c0")));

  private final CommitPlanner planner =
      new CommitPlanner(ConfigurationChecker.forAcceptance(), FakeTable::digest);

  private static Change add(ServiceName service, String version, TeamName owner) {
    return new Change.AddVersion(new VersionKey(service, new VersionName(version)), owner);
  }

  private static Change route(String name, String path, ServiceName service) {
    return new Change.PutRoute(new Route(new RouteName(name), path, service, Priority.NORMAL));
  }

  private CommitPlan plan(Author author, List<Condition> extra, Change... changes) {
    Row staged =
        new Row(
            RowKey.staged(author.name()),
            3,
            new RowValue.Staged(author.name(), BASE.version(), List.of(changes)));
    CommitRequest request =
        new CommitRequest(new CommitId("c1"), author, NOW_MILLIS, Set.of(TUNIS), extra);
    return planner.plan(Optional.of(CURRENT), BASE, ChangeSet.staged(staged), request);
  }

  private List<ViolationKey> refused(Author author, Change... changes) {
    return ((CommitPlan.Refused) plan(author, List.of(), changes))
        .violations().stream().map(Violation::key).toList();
  }

  @Test
  void transactionHoldsEveryCondition() {
    Condition lease = new Condition.AtRevision(RowKey.ROLLOUT_LEASE, 5);
    CommitPlan.Planned plan =
        (CommitPlan.Planned)
            plan(ALL, List.of(lease), new Change.StartMove(QUOTES, V2, 1, NOW_MILLIS + 1));
    assertThat(plan.transaction().conditions())
        .containsExactly(
            new Condition.AtRevision(RowKey.CURRENT, 7),
            new Condition.Absent(RowKey.history(new ConfigurationVersion(2))),
            new Condition.Absent(RowKey.commit(new CommitId("c1"))),
            new Condition.AtRevision(RowKey.staged("root"), 3),
            lease);
    assertThat(plan.transaction().writes()).hasSize(5);
    assertThat(plan.next().moves().get(QUOTES).startMillis()).isEqualTo(NOW_MILLIS);
  }

  @Test
  void everyInapplicableChangeIsReported() {
    assertThat(
            refused(
                ALL,
                new Change.RemoveRoute(new RouteName("nothing")),
                new Change.StartMove(QUOTES, V2, 0, NOW_MILLIS),
                new Change.Restore(TUNIS, 0, 1),
                new Change.Withdraw(TUNIS, 0),
                route("a", "a", QUOTES)))
        .containsExactly(
            ViolationKey.CHANGE_NOT_APPLICABLE,
            ViolationKey.DEADLINE_PASSED,
            ViolationKey.CHANGE_NOT_APPLICABLE,
            ViolationKey.TOO_FEW_DOMAINS_LEFT,
            ViolationKey.PATH_PREFIX_MALFORMED);
    assertThat(refused(ALL)).containsExactly(ViolationKey.NOTHING_STAGED);
  }

  @Test
  void teamMayChangeOnlyWhatItOwns() {
    assertThat(
            refused(
                MEMBER,
                add(ORDERS, "v2", TEAM),
                new Change.RemoveRoute(new RouteName("orders")),
                route("orders", "/new", QUOTES),
                route("inner", "/orders/mine", QUOTES),
                new Change.Withdraw(TUNIS, 0),
                add(new ServiceName("new"), "v1", OTHER)))
        .hasSize(6)
        .containsOnly(ViolationKey.NOT_OWNED);
    assertThat(
            plan(
                MEMBER,
                List.of(),
                add(new ServiceName("new"), "v1", TEAM),
                route("quotes", "/ordersheets", QUOTES)))
        .isInstanceOf(CommitPlan.Planned.class);
  }

  @Test
  void onlyChangesWithACommonSubjectOverlap() {
    List<Change> put = List.of(route("a", "/a", QUOTES));
    List<Change> move = List.of(new Change.StartMove(QUOTES, V2, 0, 1));
    List<Change> step = List.of(new Change.AdvanceMove(QUOTES, V2, 10));
    List<Change> removal =
        List.of(new Change.RemoveVersion(new VersionKey(QUOTES, new VersionName("v1"))));
    assertThat(ChangeSubject.overlap(put, move)).isFalse();
    assertThat(ChangeSubject.overlap(put, List.of(route("b", "/b", QUOTES)))).isFalse();
    assertThat(ChangeSubject.overlap(put, removal)).isTrue();
    assertThat(ChangeSubject.overlap(move, step)).isTrue();
    assertThat(
            ChangeSubject.overlap(
                List.of(new Change.Withdraw(TUNIS, 0)),
                List.of(new Change.Withdraw(new FailureDomain("sfax"), 0))))
        .isTrue();
  }
}
