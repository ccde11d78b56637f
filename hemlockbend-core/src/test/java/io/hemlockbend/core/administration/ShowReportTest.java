package io.hemlockbend.core.administration;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ShowReportTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final TeamName TEAM = new TeamName("tableaux");
  private static final Configuration BEFORE =
      ChangeApplier.apply(
          Configuration.EMPTY,
          List.of(
              new Change.AddVersion(key("v1"), TEAM),
              new Change.AddVersion(key("v2"), TEAM),
              new Change.AddVersion(key("v3"), TEAM)));
  private static final Configuration AFTER =
      ChangeApplier.apply(
          BEFORE,
          List.of(
              new Change.StartMove(QUOTES, new VersionName("v2"), 10, 20),
              new Change.AdvanceMove(QUOTES, new VersionName("v2"), 50),
              new Change.TakeBack(key("v3"), null),
              new Change.Withdraw(new FailureDomain("sfax"), 7)));

  private static VersionKey key(String version) {
    return new VersionKey(QUOTES, new VersionName(version));
  }

  private static Member member(String id, MemberStatus status, long applied) {
    NodeAddress address = new NodeAddress("127.0.0.1", 1);
    Endpoint endpoint =
        new Endpoint(new UpstreamId(id), new StartId("s"), key("v1"), EndpointState.READY, 1);
    return new Member(
        new NodeId(id),
        new Region("coast"),
        new FailureDomain("tunis"),
        address,
        address,
        1,
        status,
        new ConfigurationVersion(applied),
        Optional.of(endpoint));
  }

  @Test
  void showListsSharesUpstreamsDomainsAndLaggingNodes() {
    AdminResponse.Show show = report().show();
    assertThat(show.services().getFirst().versions())
        .extracting(
            v -> v.version() + " " + v.state() + " " + v.sharePermille() + " " + v.upstreams())
        .containsExactly("v1 active 950 2", "v2 moving in 50 0", "v3 taken back 0 0");
    assertThat(show.services().getFirst().deadlineMillis()).contains(20L);
    assertThat(show.domains())
        .extracting(d -> d.domain() + " " + d.state() + " " + d.nodes())
        .containsExactly("sfax withdrawn 0", "tunis in use 2");
    assertThat(show.nodes())
        .extracting(n -> n.node() + " " + n.lagging())
        .containsExactly("a false", "b true", "c false");
  }

  @Test
  void progressCountsLiveNodesWithTheVersionInForce() {
    AdminResponse.Progress progress = report().progress(new ConfigurationVersion(3));
    assertThat(progress.everywhere()).isFalse();
    assertThat(progress.lagging()).containsExactly(new NodeId("b"));
    assertThat(report().progress(new ConfigurationVersion(2)).everywhere()).isTrue();
    assertThat(report().progress(new ConfigurationVersion(1)).holding()).isEqualTo(2);
  }

  private static ShowReport report() {
    VersionMark inForce = new VersionMark(AFTER.version(), new Digest("0".repeat(64)));
    return new ShowReport(
        inForce,
        AFTER,
        Optional.of(new ConfigurationVersion(3)),
        List.of(
            member("c", MemberStatus.DEAD, 1),
            member("b", MemberStatus.ALIVE, 2),
            member("a", MemberStatus.ALIVE, 3)));
  }

  @Test
  void diffListsEveryPartThatDiffers() {
    assertThat(ConfigurationDiff.between(BEFORE, AFTER))
        .extracting(AdminResponse.DiffLine::part)
        .containsExactly("version quotes/v3", "move of quotes", "domain sfax");
    assertThat(ConfigurationDiff.between(AFTER, AFTER)).isEmpty();
  }
}
