package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseFenceTest {

  @Test
  void closesAfterAPauseAndReopensOnlyExplicitly() {
    PauseFence fence = new PauseFence(200, 0);
    fence.ticked(200);
    assertThat(fence.closed(400)).isFalse();
    assertThat(fence.closed(401)).isTrue();
    fence.ticked(401);
    assertThat(fence.closed(401)).isTrue();
    fence.caughtUp(410);
    assertThat(fence.closed(610)).isFalse();
  }
}
