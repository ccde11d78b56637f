package io.hemlockbend.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
  private final LeaseSimulation simulation = new LeaseSimulation(true);

  private void exchange(int node, LeaseSimulation.Delivery... deliveries) {
    for (LeaseSimulation.Delivery delivery : deliveries) {
      assertThat(simulation.exchange(node, delivery)).isTrue();
    }
  }

  private void acquire(int node) {
    exchange(
        node,
        LeaseSimulation.Delivery.ANSWERED,
        LeaseSimulation.Delivery.ANSWERED,
        LeaseSimulation.Delivery.ANSWERED);
  }

  private boolean held(int node) {
    return simulation.keepers[node].held(simulation.nowMillis).isPresent();
  }

  @Test
  void takesFreeLeaseAndRenewsItUnderTheSameTerm() {
    acquire(0);
    long revision = simulation.keepers[0].held(simulation.nowMillis).orElseThrow().revision();
    simulation.nowMillis += LeaseKeeper.RENEW_MILLIS;
    exchange(0, LeaseSimulation.Delivery.ANSWERED);
    assertThat(held(0)).as("the revision is not known before the read").isFalse();
    exchange(0, LeaseSimulation.Delivery.ANSWERED);
    HeldLease renewed = simulation.keepers[0].held(simulation.nowMillis).orElseThrow();
    assertThat(renewed.term()).isEqualTo(1);
    assertThat(renewed.revision()).isGreaterThan(revision);
  }

  @Test
  void pausedHolderStopsAtOnce() {
    acquire(0);
    simulation.nowMillis += LeaseKeeper.DURATION_MILLIS - LeaseKeeper.GUARD_MILLIS;
    assertThat(held(0)).isFalse();
  }

  @Test
  void lostAnswerIsResolvedByReadingBack() {
    exchange(0, LeaseSimulation.Delivery.ANSWERED, LeaseSimulation.Delivery.ANSWER_LOST);
    assertThat(held(0)).isFalse();
    simulation.nowMillis += LeaseKeeper.MAX_BACKOFF_MILLIS;
    exchange(0, LeaseSimulation.Delivery.ANSWERED);
    assertThat(simulation.keepers[0].held(simulation.nowMillis)).map(HeldLease::term).contains(1L);
  }

  @Test
  void writeAppliedAfterItsTimeoutIsFollowedByNewTerm() {
    exchange(
        0,
        LeaseSimulation.Delivery.ANSWERED,
        LeaseSimulation.Delivery.DELAYED,
        LeaseSimulation.Delivery.ANSWERED);
    simulation.deliver(0);
    exchange(0, LeaseSimulation.Delivery.ANSWERED, LeaseSimulation.Delivery.ANSWERED);
    assertThat(held(0)).as("the row is of a write that timed out").isFalse();
    exchange(0, LeaseSimulation.Delivery.ANSWERED, LeaseSimulation.Delivery.ANSWERED);
    assertThat(simulation.keepers[0].held(simulation.nowMillis)).map(HeldLease::term).contains(2L);
  }

  @Test
  void candidateWaitsForTheWholeDurationAndTheGuard() {
    acquire(0);
    exchange(1, LeaseSimulation.Delivery.ANSWERED);
    simulation.nowMillis += LeaseKeeper.DURATION_MILLIS;
    exchange(1, LeaseSimulation.Delivery.ANSWERED);
    assertThat(simulation.exchange(1, LeaseSimulation.Delivery.ANSWERED))
        .as("pauses after a read")
        .isFalse();
    simulation.nowMillis += LeaseKeeper.GUARD_MILLIS;
    acquire(1);
    assertThat(held(1)).isTrue();
    assertThat(simulation.newestTerm).isEqualTo(2);
  }

  @Test
  void holderThatIsNoLongerCandidateReleasesTheLease() {
    acquire(0);
    simulation.keepers[0].candidate(false);
    simulation.nowMillis += LeaseKeeper.RENEW_MILLIS;
    exchange(0, LeaseSimulation.Delivery.ANSWERED, LeaseSimulation.Delivery.ANSWERED);
    assertThat(held(0)).isFalse();
    acquire(1);
    assertThat(held(1)).isTrue();
  }

  @Test
  void answerToAnOlderRequestIsDropped() {
    LeaseKeeper keeper = simulation.keepers[0];
    long first = keeper.poll(simulation.nowMillis).orElseThrow().id();
    simulation.nowMillis += LeaseKeeper.REQUEST_TIMEOUT_MILLIS;
    assertThat(keeper.poll(simulation.nowMillis)).as("pauses after a failure").isEmpty();
    simulation.nowMillis += LeaseKeeper.MAX_BACKOFF_MILLIS;
    long second = keeper.poll(simulation.nowMillis).orElseThrow().id();
    keeper.onRow(first, Optional.empty(), simulation.nowMillis);
    assertThat(keeper.poll(simulation.nowMillis)).as("waits for the newer answer").isEmpty();
    keeper.onRow(second, Optional.empty(), simulation.nowMillis);
    assertThat(keeper.poll(simulation.nowMillis)).containsInstanceOf(LeaseRequest.Write.class);
  }
}
