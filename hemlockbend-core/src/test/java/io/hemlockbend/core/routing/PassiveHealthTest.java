package io.hemlockbend.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PassiveHealthTest {
  private final PassiveHealth health = new PassiveHealth();

  @Test
  void threeConsecutiveFailuresEject() {
    health.failed(0);
    health.failed(1);
    assertThat(health.ejected(2)).isFalse();
    health.failed(2);
    assertThat(health.ejected(3)).isTrue();
    assertThat(health.ejected(502)).isFalse();
  }

  @Test
  void successResetsTheFailures() {
    health.failed(0);
    health.failed(0);
    health.succeeded();
    health.failed(0);
    assertThat(health.ejected(1)).isFalse();
  }

  @Test
  void ejectionsGrowLonger() {
    for (int i = 0; i < 3; i++) {
      health.failed(0);
    }
    health.failed(500);
    assertThat(health.ejected(1400)).isTrue();
    assertThat(health.ejected(1500)).isFalse();
  }
}
