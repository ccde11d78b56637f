package io.hemlockbend.core.distribution;

import static io.hemlockbend.core.distribution.DistributionFixtures.configuration;
import static io.hemlockbend.core.distribution.DistributionFixtures.id;
import static io.hemlockbend.core.distribution.DistributionFixtures.mark;
import static io.hemlockbend.core.distribution.DistributionFixtures.steps;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.distribution.DistributionEffect.Apply;
import io.hemlockbend.core.distribution.DistributionEffect.FetchBody;
import io.hemlockbend.core.distribution.DistributionEffect.ReadHistory;
import io.hemlockbend.core.distribution.DistributionEffect.Refused;
import io.hemlockbend.core.distribution.DistributionEffect.Send;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Announcement;
import io.hemlockbend.core.message.PeerMessage.Body;
import io.hemlockbend.core.message.PeerMessage.Delta;
import io.hemlockbend.core.message.PeerMessage.Pull;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.RowValue;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DistributorTest {
  private final Distributor distributor = distributor();
  private long now = 10_000;

  private static Distributor distributor() {
    Distributor created =
        new Distributor(
            id(0),
            new FailureDomain("d"),
            DistributionSettings.DEFAULT,
            DistributionFixtures.DIGESTER,
            new SplittableRandom(1));
    created.members(
        IntStream.range(0, 6)
            .mapToObj(i -> DistributionFixtures.member(i, MemberStatus.ALIVE))
            .toList(),
        0);
    return created;
  }

  private static Optional<RowValue.Current> row(int version) {
    VersionMark mark = mark(version);
    return Optional.of(
        new RowValue.Current(mark.version(), mark.digest(), new CommitId("c" + version)));
  }

  /** Applies a version that the table names and a peer sends. */
  private void applyVersion(int version) {
    distributor.currentRead(row(version), now);
    distributor.receive(new Body(id(1), mark(version), configuration(version)), now);
    assertThat(distributor.mark()).isEqualTo(mark(version));
  }

  private static <T> List<T> ofType(List<DistributionEffect> effects, Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static <T extends PeerMessage> List<T> sent(
      List<DistributionEffect> effects, Class<T> type) {
    return ofType(effects, Send.class).stream()
        .map(send -> send.outbound().message())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private static Ack ack(int peer, VersionMark mark) {
    return new Ack(id(peer), 1, mark, List.of(), List.of(), List.of());
  }

  @Test
  void announcedConfigurationIsPulledAppliedAndReannounced() {
    applyVersion(1);
    List<DistributionEffect> pull = distributor.receive(new Announcement(id(2), mark(3)), now);
    assertThat(sent(pull, Pull.class)).containsExactly(new Pull(id(0), mark(1)));
    List<DistributionEffect> done =
        distributor.receive(new Delta(id(2), mark(1), mark(3), steps(1, 3)), now);
    assertThat(ofType(done, Apply.class)).containsExactly(new Apply(mark(3), configuration(3)));
    assertThat(sent(done, Announcement.class)).hasSizeGreaterThanOrEqualTo(3);
    assertThat(sent(distributor.receive(new Pull(id(4), mark(1)), now), Delta.class))
        .containsExactly(new Delta(id(0), mark(1), mark(3), steps(1, 3)));
    assertThat(sent(distributor.receive(new Pull(id(4), VersionMark.NONE), now), Body.class))
        .containsExactly(new Body(id(0), mark(3), configuration(3)));
  }

  @Test
  void olderAndRepeatedBodiesAreDropped() {
    applyVersion(3);
    for (int version = 3; version >= 1; version--) {
      Body late = new Body(id(2), mark(version), configuration(version));
      assertThat(ofType(distributor.receive(late, now), Apply.class)).isEmpty();
    }
    assertThat(ofType(distributor.currentRead(row(2), now), Apply.class)).isEmpty();
    assertThat(distributor.configuration()).isEqualTo(configuration(3));
    assertThat(sent(distributor.receive(new Pull(id(4), VersionMark.NONE), now), Body.class))
        .as("configuration served to peers")
        .containsExactly(new Body(id(0), mark(3), configuration(3)));
  }

  @Test
  void bodyThatDoesNotMatchItsDigestIsRejected() {
    applyVersion(1);
    VersionMark wrong = new VersionMark(mark(2).version(), new Digest("a".repeat(64)));
    List<DistributionEffect> effects =
        distributor.receive(new Body(id(2), wrong, configuration(2)), now);
    assertThat(ofType(effects, Apply.class)).isEmpty();
    assertThat(ofType(effects, Refused.class).getFirst().reason()).contains("digest");
  }

  @Test
  void bodyWithDanglingReferenceIsRejected() {
    applyVersion(1);
    Configuration whole = configuration(2);
    Configuration broken =
        new Configuration(
            whole.version(),
            new TreeMap<>(),
            whole.versions(),
            whole.routes(),
            whole.moves(),
            whole.domains());
    VersionMark mark =
        new VersionMark(whole.version(), DistributionFixtures.DIGESTER.digest(broken));
    List<DistributionEffect> effects = distributor.receive(new Body(id(2), mark, broken), now);
    assertThat(ofType(effects, Apply.class)).isEmpty();
    assertThat(ofType(effects, Refused.class).getFirst().reason()).contains("missing service");
  }

  @Test
  void conflictingDigestOfSameVersionIsReportedOnceAndNeverApplied() {
    applyVersion(2);
    VersionMark other = new VersionMark(mark(2).version(), new Digest("b".repeat(64)));
    List<DistributionEffect> effects = distributor.receive(ack(2, other), now);
    assertThat(ofType(effects, Refused.class)).hasSize(1);
    assertThat(ofType(distributor.receive(ack(3, other), now), Refused.class)).isEmpty();
    assertThat(distributor.mark()).isEqualTo(mark(2));
  }

  @Test
  void ownCommitWaitsForSecondHolderUntilTimeout() {
    applyVersion(1);
    List<DistributionEffect> effects =
        distributor.accepted(mark(2), configuration(2), DistributionFixtures.change(2), now);
    assertThat(ofType(effects, Apply.class)).isEmpty();
    assertThat(sent(effects, Announcement.class)).isNotEmpty();
    List<DistributionEffect> held = distributor.receive(new Announcement(id(3), mark(2)), now);
    assertThat(ofType(held, Apply.class)).hasSize(1);
    distributor.accepted(mark(3), configuration(3), DistributionFixtures.change(3), now);
    assertThat(ofType(distributor.tick(now + 900), Apply.class)).isEmpty();
    assertThat(ofType(distributor.tick(now + 1_000), Apply.class)).hasSize(1);
  }

  @Test
  void readerFetchesHistoryThenBody() {
    applyVersion(1);
    assertThat(ofType(distributor.currentRead(row(3), now), ReadHistory.class))
        .containsExactly(new ReadHistory(new ConfigurationVersion(1), new ConfigurationVersion(3)));
    distributor.historyUnavailable(now);
    List<DistributionEffect> fetch = distributor.tick(now + 2_000);
    assertThat(ofType(fetch, FetchBody.class)).containsExactly(new FetchBody(mark(3).digest()));
    distributor.bodyFetched(mark(3).digest(), configuration(3), now + 2_000);
    assertThat(ofType(distributor.tick(now + 3_000), Apply.class)).hasSize(1);
  }

  @Test
  void unresponsiveHolderIsReplacedByAnother() {
    applyVersion(1);
    distributor.receive(new Announcement(id(2), mark(2)), now);
    distributor.receive(new Announcement(id(3), mark(2)), now);
    assertThat(sent(distributor.tick(now + 300), Pull.class)).isEmpty();
    assertThat(sent(distributor.tick(now + 400), Pull.class)).hasSize(1);
  }

  @Test
  void newProcessWaitsForTheTable() {
    distributor.receive(new Body(id(1), mark(1), configuration(1)), now);
    assertThat(distributor.ready()).isFalse();
    assertThat(ofType(distributor.tick(now + 60_000), Apply.class)).isEmpty();
    distributor.currentRead(row(2), now);
    assertThat(distributor.ready()).as("holds an older version than the table").isFalse();
    distributor.receive(new Body(id(1), mark(2), configuration(2)), now);
    assertThat(distributor.ready()).isTrue();
  }

  @Test
  void newProcessWithoutPlatformWaitsForSeveralPeersAndItsRecordedVersion() {
    distributor.tick(now);
    distributor.currentUnavailable(now);
    distributor.recorded(new ConfigurationVersion(2));
    distributor.receive(new Body(id(1), mark(1), configuration(1)), now);
    for (int peer = 1; peer <= 3; peer++) {
      distributor.receive(ack(peer, mark(1)), now);
    }
    distributor.tick(now + 5_000);
    assertThat(distributor.ready()).as("peers recorded version 2 for this node").isFalse();
    distributor.receive(ack(4, mark(2)), now);
    distributor.receive(new Body(id(4), mark(2), configuration(2)), now + 100);
    assertThat(distributor.ready()).as("settle time not yet passed").isFalse();
    distributor.tick(now + 5_000);
    assertThat(distributor.ready()).isTrue();
    assertThat(distributor.mark()).isEqualTo(mark(2));
  }
}
