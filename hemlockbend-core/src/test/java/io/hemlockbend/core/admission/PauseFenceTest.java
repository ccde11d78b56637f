package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseFenceTest {

  @Test
  void closesAfterAPauseAndReopensOnlyExplicitly() {
    PauseFence fence = new PauseFence(200, 0);
    fence.renew(200);
    assertThat(fence.closed(400)).isFalse();
    assertThat(fence.closed(401)).isTrue();
    fence.renew(401);
    assertThat(fence.closed(401)).isTrue();
    fence.reopen(410);
    assertThat(fence.closed(610)).isFalse();
  }
}
