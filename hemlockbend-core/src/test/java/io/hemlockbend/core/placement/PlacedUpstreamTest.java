package io.hemlockbend.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.NodeId;
import org.junit.jupiter.api.Test;

class PlacedUpstreamTest {
  private static final int SLOTS = 9;
  private static final int LONGEST_QUEUE = 27;
  private static final double SERVICE_MILLIS = 90;

  @Test
  void isNotFullWhileSlotsAreFreeEvenIfSlow() {
    assertThat(upstream(SLOTS - 1, 0, 0).full(SlackClass.AMPLE, 1)).isFalse();
  }

  @Test
  void isFullForRequestsThatWouldBeLate() {
    PlacedUpstream busy = upstream(SLOTS + 8, 8, 0);
    assertThat(busy.waitMillis(SlackClass.AMPLE)).isEqualTo(90);
    assertThat(busy.full(SlackClass.AMPLE, 181)).isFalse();
    assertThat(busy.full(SlackClass.AMPLE, 179)).isTrue();
  }

  /** Requests that are not late are served before any number of late ones. */
  @Test
  void lateRequestsFillTheQueueForLateRequestsOnly() {
    PlacedUpstream busy = upstream(SLOTS + LONGEST_QUEUE, 0, LONGEST_QUEUE);
    assertThat(busy.full(SlackClass.LATE, 10_000)).isTrue();
    assertThat(busy.full(SlackClass.AMPLE, 200)).isFalse();
  }

  /** Nested calls of running requests are sent even while new requests fill the queue. */
  @Test
  void requestsWithAmpleSlackDoNotFillTheQueueForTightOnes() {
    PlacedUpstream busy = upstream(SLOTS + LONGEST_QUEUE, LONGEST_QUEUE, 0);
    assertThat(busy.slackClass(120)).isEqualTo(SlackClass.TIGHT);
    assertThat(busy.full(SlackClass.TIGHT, 120)).isFalse();
    assertThat(busy.full(SlackClass.AMPLE, 10_000)).isTrue();
  }

  /** A body that is queued for the link makes its request late even if slots are free. */
  @Test
  void isFullForRequestsWhoseBodiesWouldWaitTooLong() {
    assertThat(withBodyWait(700, 200).full(SlackClass.AMPLE, 991)).isFalse();
    assertThat(withBodyWait(700, 200).full(SlackClass.AMPLE, 989)).isTrue();
    assertThat(withBodyWait(0, 200).full(SlackClass.AMPLE, 1)).isFalse();
  }

  @Test
  void costsMoreTheLongerBodiesWait() {
    assertThat(withBodyWait(700, 200).cost() - withBodyWait(0, 200).cost()).isEqualTo(700);
  }

  private static PlacedUpstream upstream(int running, int queuedAmple, int queuedLate) {
    return new PlacedUpstream(
        new NodeId("n1"),
        running,
        queuedAmple,
        queuedLate,
        SLOTS,
        LONGEST_QUEUE,
        SERVICE_MILLIS,
        0,
        true,
        0,
        0);
  }

  private static PlacedUpstream withBodyWait(double bodyWaitMillis, double networkMillis) {
    return new PlacedUpstream(
        new NodeId("n1"),
        0,
        0,
        0,
        SLOTS,
        LONGEST_QUEUE,
        SERVICE_MILLIS,
        0,
        true,
        networkMillis,
        bodyWaitMillis);
  }
}
