package io.hemlockbend.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureRateTest {
  private final FailureRate rate = new FailureRate();

  @Test
  void followsRecentRequests() {
    for (int i = 0; i < 100; i++) {
      rate.record(i % 2 == 0, i);
    }
    assertThat(rate.rate(100)).isBetween(0.4, 0.6);
    for (int i = 0; i < 100; i++) {
      rate.record(false, 100 + i);
    }
    assertThat(rate.rate(200)).isLessThan(0.05);
  }

  @Test
  void decaysWithTime() {
    for (int i = 0; i < 100; i++) {
      rate.record(true, i);
    }
    assertThat(rate.rate(10_100)).isLessThan(0.05);
  }
}
