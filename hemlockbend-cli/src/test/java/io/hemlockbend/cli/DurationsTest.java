package io.hemlockbend.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class DurationsTest {
  @Test
  void deadlineIsADurationFromNowOrAnInstant() {
    assertThat(Durations.deadlineMillis("15m", 1_000)).isEqualTo(901_000);
    assertThat(Durations.deadlineMillis("1970-01-01T00:00:02Z", 1_000)).isEqualTo(2_000);
    assertThat(Durations.millis("250ms")).isEqualTo(250);
  }

  @Test
  void otherFormsAreRefused() {
    assertThatThrownBy(() -> Durations.deadlineMillis("soon", 0)).hasMessageContaining("'soon'");
    assertThatThrownBy(() -> Durations.millis("0s")).isInstanceOf(IllegalArgumentException.class);
  }
}
