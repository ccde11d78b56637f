package io.hemlockbend.core.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BodyMemoryTest {
  private static final long LIMIT = 1_000_000;

  private final BodyMemory memory = new BodyMemory(LIMIT);

  @Test
  void bodiesTogetherStayWithinTheLimit() {
    for (int body = 0; body < 5; body++) {
      assertThat(memory.grow(0, 200_000)).isTrue();
    }
    assertThat(memory.grow(0, 200_000)).isFalse();
    assertThat(memory.heldBytes()).isEqualTo(LIMIT);
    memory.release(200_000);
    assertThat(memory.grow(0, 200_000)).isTrue();
  }

  @Test
  void growingBodyKeepsWhatItHoldsIfThereIsNoMore() {
    assertThat(memory.grow(0, 600_000)).isTrue();
    assertThat(memory.grow(0, 300_000)).isTrue();
    assertThat(memory.grow(300_000, 400_000)).isTrue();
    assertThat(memory.grow(400_000, 500_000)).isFalse();
    assertThat(memory.heldBytes()).isEqualTo(LIMIT);
    assertThat(memory.grow(400_000, 100_000)).isTrue();
    assertThat(memory.heldBytes()).isEqualTo(LIMIT);
  }

  /** Callers may send a body that is larger than what all may hold together. */
  @Test
  void largeBodyIsAcceptedAlone() {
    assertThat(memory.grow(0, 3 * LIMIT)).isTrue();
    assertThat(memory.grow(0, 200_000)).isFalse();
    assertThat(memory.grow(0, BodyMemory.UNCOUNTED_BYTES)).isTrue();
    memory.release(3 * LIMIT);
    assertThat(memory.heldBytes()).isZero();
    assertThat(memory.grow(0, 200_000)).isTrue();
    assertThat(memory.grow(0, 3 * LIMIT)).isFalse();
  }
}
