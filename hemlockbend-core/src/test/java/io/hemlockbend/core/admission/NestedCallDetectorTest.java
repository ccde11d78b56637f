package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class NestedCallDetectorTest {
  private final NestedCallDetector detector = new NestedCallDetector();

  @Test
  void distinguishesNestedCallsFromNewRequests() {
    for (long now = 0; now < 2_000; now += 20) {
      assertThat(detector.detect(1_500, now)).isFalse();
      assertThat(detector.detect(200, now + 5)).isTrue();
    }
  }

  @Test
  void treatsAllAsNewIfRemainingTimesAreEqual() {
    for (long now = 0; now < 2_000; now += 20) {
      assertThat(detector.detect(200, now)).isFalse();
    }
  }

  @Test
  void singleLongRemainingTimesDecay() {
    detector.detect(60_000, 0);
    assertThat(detector.detect(1_000, 10)).isTrue();
    assertThat(detector.detect(1_000, 60_000)).isFalse();
  }
}
