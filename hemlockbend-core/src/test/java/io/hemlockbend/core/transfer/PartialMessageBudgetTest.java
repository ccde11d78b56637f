package io.hemlockbend.core.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PartialMessageBudgetTest {
  private final PartialMessageBudget<String> budget = new PartialMessageBudget<>(1_000);

  @Test
  void largestHolderIsEvictedWhicheverAdds() {
    assertThat(budget.add("endless", 900)).isNull();
    assertThat(budget.add("usual", 100)).isNull();
    assertThat(budget.add("usual", 1)).isEqualTo("endless");
    budget.release("endless");
    assertThat(budget.largestIfOverLimit()).isNull();
    assertThat(budget.totalBytes()).isEqualTo(101);
  }

  @Test
  void singleHolderBeyondTheLimitIsEvicted() {
    assertThat(budget.add("endless", 1_001)).isEqualTo("endless");
    budget.release("endless");
    budget.release("endless");
    assertThat(budget.totalBytes()).isZero();
  }

  @Test
  void holdersAreEvictedUntilTheTotalFits() {
    budget.add("a", 400);
    budget.add("b", 300);
    assertThat(budget.add("c", 1_200)).isEqualTo("c");
    budget.release("c");
    assertThat(budget.largestIfOverLimit()).isNull();
    assertThat(budget.peakBytes()).isEqualTo(700);
  }
}
