package io.hemlockbend.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureShareTest {
  private final FailureShare rate = new FailureShare();

  @Test
  void followsRecentRequests() {
    for (int i = 0; i < 100; i++) {
      rate.learn(i % 2 == 0, i);
    }
    assertThat(rate.share(100)).isBetween(0.4, 0.6);
    for (int i = 0; i < 100; i++) {
      rate.learn(false, 100 + i);
    }
    assertThat(rate.share(200)).isLessThan(0.05);
  }

  @Test
  void decaysWithTime() {
    for (int i = 0; i < 100; i++) {
      rate.learn(true, i);
    }
    assertThat(rate.share(10_100)).isLessThan(0.05);
  }
}
