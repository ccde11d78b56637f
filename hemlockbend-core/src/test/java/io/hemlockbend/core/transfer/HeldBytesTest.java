package io.hemlockbend.core.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HeldBytesTest {
  private final HeldBytes<String> held = new HeldBytes<>(1_000);

  @Test
  void largestHolderIsEvictedWhicheverAdds() {
    assertThat(held.add("endless", 900)).isNull();
    assertThat(held.add("usual", 100)).isNull();
    assertThat(held.add("usual", 1)).isEqualTo("endless");
    held.release("endless");
    assertThat(held.over()).isNull();
    assertThat(held.totalBytes()).isEqualTo(101);
  }

  @Test
  void singleHolderBeyondTheLimitIsEvicted() {
    assertThat(held.add("endless", 1_001)).isEqualTo("endless");
    held.release("endless");
    held.release("endless");
    assertThat(held.totalBytes()).isZero();
  }

  @Test
  void holdersAreEvictedUntilTheTotalFits() {
    held.add("a", 400);
    held.add("b", 300);
    assertThat(held.add("c", 1_200)).isEqualTo("c");
    held.release("c");
    assertThat(held.over()).isNull();
    assertThat(held.mostBytes()).isEqualTo(700);
  }
}
