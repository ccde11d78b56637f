package io.hemlockbend.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
  private final LeaseWorld world = new LeaseWorld(true);

  private void exchange(int node, LeaseWorld.Fate... fates) {
    for (LeaseWorld.Fate fate : fates) {
      assertThat(world.exchange(node, fate)).isTrue();
    }
  }

  private void acquire(int node) {
    exchange(node, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWERED);
  }

  private boolean held(int node) {
    return world.keepers[node].held(world.nowMillis).isPresent();
  }

  @Test
  void takesFreeLeaseAndRenewsItUnderTheSameTerm() {
    acquire(0);
    long revision = world.keepers[0].held(world.nowMillis).orElseThrow().revision();
    world.nowMillis += LeaseKeeper.RENEW_MILLIS;
    exchange(0, LeaseWorld.Fate.ANSWERED);
    assertThat(held(0)).as("the revision is not known before the read").isFalse();
    exchange(0, LeaseWorld.Fate.ANSWERED);
    HeldLease renewed = world.keepers[0].held(world.nowMillis).orElseThrow();
    assertThat(renewed.term()).isEqualTo(1);
    assertThat(renewed.revision()).isGreaterThan(revision);
  }

  @Test
  void pausedHolderStopsAtOnce() {
    acquire(0);
    world.nowMillis += LeaseKeeper.DURATION_MILLIS - LeaseKeeper.GUARD_MILLIS;
    assertThat(held(0)).isFalse();
  }

  @Test
  void lostAnswerIsSettledByReadingBack() {
    exchange(0, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWER_LOST);
    assertThat(held(0)).isFalse();
    world.nowMillis += LeaseKeeper.MAX_BACKOFF_MILLIS;
    exchange(0, LeaseWorld.Fate.ANSWERED);
    assertThat(world.keepers[0].held(world.nowMillis)).map(HeldLease::term).contains(1L);
  }

  @Test
  void writeThatLandsAfterItsTimeoutIsTakenOverUnderNewTerm() {
    exchange(0, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.DELAYED, LeaseWorld.Fate.ANSWERED);
    world.land(0);
    exchange(0, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWERED);
    assertThat(held(0)).as("the row is of a write given up").isFalse();
    exchange(0, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWERED);
    assertThat(world.keepers[0].held(world.nowMillis)).map(HeldLease::term).contains(2L);
  }

  @Test
  void candidateWaitsForTheWholeDurationAndTheGuard() {
    acquire(0);
    exchange(1, LeaseWorld.Fate.ANSWERED);
    world.nowMillis += LeaseKeeper.DURATION_MILLIS;
    exchange(1, LeaseWorld.Fate.ANSWERED);
    assertThat(world.exchange(1, LeaseWorld.Fate.ANSWERED)).as("pauses after a read").isFalse();
    world.nowMillis += LeaseKeeper.GUARD_MILLIS;
    acquire(1);
    assertThat(held(1)).isTrue();
    assertThat(world.newestTerm).isEqualTo(2);
  }

  @Test
  void holderThatIsDrawnNoMoreReleasesTheLease() {
    acquire(0);
    world.keepers[0].candidate(false);
    world.nowMillis += LeaseKeeper.RENEW_MILLIS;
    exchange(0, LeaseWorld.Fate.ANSWERED, LeaseWorld.Fate.ANSWERED);
    assertThat(held(0)).isFalse();
    acquire(1);
    assertThat(held(1)).isTrue();
  }

  @Test
  void answerToAnOlderRequestIsDropped() {
    LeaseKeeper keeper = world.keepers[0];
    long first = keeper.poll(world.nowMillis).orElseThrow().id();
    world.nowMillis += LeaseKeeper.REQUEST_TIMEOUT_MILLIS;
    assertThat(keeper.poll(world.nowMillis)).as("pauses after a failure").isEmpty();
    world.nowMillis += LeaseKeeper.MAX_BACKOFF_MILLIS;
    long second = keeper.poll(world.nowMillis).orElseThrow().id();
    keeper.onRow(first, Optional.empty(), world.nowMillis);
    assertThat(keeper.poll(world.nowMillis)).as("waits for the newer answer").isEmpty();
    keeper.onRow(second, Optional.empty(), world.nowMillis);
    assertThat(keeper.poll(world.nowMillis)).containsInstanceOf(LeaseRequest.Write.class);
  }
}
