package io.hemlockbend.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Route;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RouterTest {
  private static final ServiceName SAFETY = new ServiceName("safety");
  private static final VersionKey V1 = new VersionKey(SAFETY, new VersionName("v1"));
  private static final VersionKey V2 = new VersionKey(SAFETY, new VersionName("v2"));
  private static final FailureDomain TUNIS = new FailureDomain("tunis");
  private static final FailureDomain SFAX = new FailureDomain("sfax");
  private static final Configuration CONFIGURATION =
      ChangeApplier.apply(
          Configuration.EMPTY,
          List.of(
              new Change.AddVersion(V1, new TeamName("team")),
              new Change.AddVersion(V2, new TeamName("team")),
              new Change.PutRoute(
                  new Route(new RouteName("checks"), "/safety", SAFETY, Priority.URGENT))));

  private final Map<UpstreamId, Integer> outstanding = new HashMap<>();
  private final Map<UpstreamId, Boolean> ejected = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(7);
  private final Router router =
      new Router(
          new UpstreamView() {
            @Override
            public int outstanding(UpstreamId upstream) {
              return outstanding.getOrDefault(upstream, 0);
            }

            @Override
            public boolean ejected(UpstreamId upstream) {
              return ejected.getOrDefault(upstream, false);
            }
          });

  @Test
  void staysInTheOwnFailureDomain() {
    RoutingTable table = table(CONFIGURATION, member("a", TUNIS, V1), member("b", SFAX, V1));
    for (int i = 0; i < 50; i++) {
      assertThat(chosen(table, "r" + i)).contains(new UpstreamId("a"));
    }
  }

  @Test
  void leavesABusyOwnFailureDomain() {
    RoutingTable table = table(CONFIGURATION, member("a", TUNIS, V1), member("b", SFAX, V1));
    outstanding.put(new UpstreamId("a"), 10);
    long toOther =
        IntStream.range(0, 100)
            .filter(i -> chosen(table, "r" + i).orElseThrow().equals(new UpstreamId("b")))
            .count();
    assertThat(toOther).isGreaterThan(60);
  }

  @Test
  void withdrawnDomainGetsNothing() {
    Configuration out = change(new Change.Withdraw(TUNIS, 0));
    RoutingTable table = table(out, member("a", TUNIS, V1), member("b", SFAX, V1));
    for (int i = 0; i < 50; i++) {
      assertThat(chosen(table, "r" + i)).contains(new UpstreamId("b"));
    }
  }

  @Test
  void moveSplitsByRequestAndNeverMovesRequestsBack() {
    Configuration moving = change(new Change.StartMove(SAFETY, V2.version(), 0, 100), advance(100));
    Configuration later = change(new Change.StartMove(SAFETY, V2.version(), 0, 100), advance(500));
    RoutingTable early = table(moving, member("a", TUNIS, V1), member("b", TUNIS, V2));
    RoutingTable late = table(later, member("a", TUNIS, V1), member("b", TUNIS, V2));
    int moved = 0;
    for (int i = 0; i < 10_000; i++) {
      boolean before = chosen(early, "r" + i).orElseThrow().equals(new UpstreamId("b"));
      boolean after = chosen(late, "r" + i).orElseThrow().equals(new UpstreamId("b"));
      assertThat(before && !after).isFalse();
      moved += before ? 1 : 0;
    }
    assertThat(moved).isBetween(900, 1100);
  }

  @Test
  void lossOfTheOldVersionDoesNotSendAllToTheNewOne() {
    Configuration moving = change(new Change.StartMove(SAFETY, V2.version(), 0, 100), advance(10));
    RoutingTable table = table(moving, member("b", TUNIS, V2));
    long toNew = IntStream.range(0, 1000).filter(i -> chosen(table, "r" + i).isPresent()).count();
    assertThat(toNew).isLessThan(30);
  }

  @Test
  void brakedVersionGetsNothing() {
    Configuration moving = change(new Change.StartMove(SAFETY, V2.version(), 0, 100), advance(500));
    RoutingTable table =
        RoutingTable.build(
            new RoutingInput(
                moving,
                List.of(member("a", TUNIS, V1), member("b", TUNIS, V2)),
                Set.of(V2),
                TUNIS,
                0));
    for (int i = 0; i < 200; i++) {
      assertThat(chosen(table, "r" + i)).contains(new UpstreamId("a"));
    }
  }

  @Test
  void ejectedUpstreamsAreTheLastResort() {
    RoutingTable table = table(CONFIGURATION, member("a", TUNIS, V1), member("b", SFAX, V1));
    ejected.put(new UpstreamId("a"), true);
    assertThat(chosen(table, "r")).contains(new UpstreamId("b"));
    ejected.put(new UpstreamId("b"), true);
    assertThat(chosen(table, "r")).isPresent();
  }

  @Test
  void triedUpstreamsAreNotTriedAgain() {
    RoutingTable table = table(CONFIGURATION, member("a", TUNIS, V1));
    RoutingRequest request =
        new RoutingRequest(
            new RequestId("r"),
            "/safety/1",
            Optional.empty(),
            Exclusions.NONE.with(new UpstreamId("a")));
    assertThat(router.decide(table, request, random))
        .isInstanceOfSatisfying(
            RoutingDecision.Refuse.class,
            refuse -> assertThat(refuse.reason()).isEqualTo(RoutingRefusal.EXHAUSTED));
  }

  @Test
  void retryAfterABrakeGoesToTheOldVersion() {
    Configuration moving = change(new Change.StartMove(SAFETY, V2.version(), 0, 100), advance(999));
    RoutingTable table = table(moving, member("a", TUNIS, V1), member("b", TUNIS, V2));
    RoutingRequest request =
        new RoutingRequest(
            new RequestId("r"), "/safety/1", Optional.empty(), Exclusions.NONE.with(V2));
    assertThat(router.decide(table, request, random))
        .isInstanceOfSatisfying(
            RoutingDecision.Forward.class,
            forward -> assertThat(forward.candidate().key()).isEqualTo(V1));
  }

  @Test
  void keyedRequestGoesToTheSameUpstreamFromEveryFailureDomain() {
    Member[] members = {member("a", TUNIS, V1), member("b", SFAX, V1), member("c", SFAX, V1)};
    for (int i = 0; i < 50; i++) {
      Optional<IdempotencyKey> key = Optional.of(new IdempotencyKey("key-" + i));
      RoutingRequest request =
          new RoutingRequest(new RequestId("r"), "/safety/1", key, Exclusions.NONE);
      RoutingDecision here = router.decide(table(CONFIGURATION, members), request, random);
      RoutingTable elsewhere =
          RoutingTable.build(new RoutingInput(CONFIGURATION, List.of(members), Set.of(), SFAX, 0));
      assertThat(router.decide(elsewhere, request, random)).isEqualTo(here);
    }
  }

  @Test
  void restoredDomainGetsAGrowingShare() {
    Configuration back = change(new Change.Withdraw(SFAX, 0), new Change.Restore(SFAX, 0, 1000));
    RoutingTable table =
        RoutingTable.build(
            new RoutingInput(
                back,
                List.of(member("a", TUNIS, V1), member("b", SFAX, V1)),
                Set.of(),
                new FailureDomain("sousse"),
                200));
    long toRestored =
        IntStream.range(0, 10_000)
            .filter(i -> chosen(table, "r" + i).orElseThrow().equals(new UpstreamId("b")))
            .count();
    assertThat(toRestored).isBetween(700L, 1300L);
  }

  private Optional<UpstreamId> chosen(RoutingTable table, String request) {
    RoutingRequest routed =
        new RoutingRequest(new RequestId(request), "/safety/1", Optional.empty(), Exclusions.NONE);
    return switch (router.decide(table, routed, random)) {
      case RoutingDecision.Forward forward -> Optional.of(forward.candidate().upstream());
      case RoutingDecision.Refuse refuse -> Optional.empty();
    };
  }

  private static Change advance(int permille) {
    return new Change.AdvanceMove(SAFETY, V2.version(), permille);
  }

  private static Configuration change(Change... changes) {
    return ChangeApplier.apply(CONFIGURATION, List.of(changes));
  }

  private static RoutingTable table(Configuration configuration, Member... members) {
    return RoutingTable.build(
        new RoutingInput(configuration, List.of(members), Set.of(), TUNIS, 0));
  }

  private static Member member(String name, FailureDomain domain, VersionKey key) {
    Endpoint endpoint =
        new Endpoint(new UpstreamId(name), new StartId("s"), key, EndpointState.READY, 10);
    NodeAddress address = new NodeAddress("127.0.0.1", 1);
    return new Member(
        new NodeId(name),
        new Region("coast"),
        domain,
        address,
        address,
        1,
        MemberStatus.ALIVE,
        ConfigurationVersion.NONE,
        Optional.of(endpoint));
  }
}
