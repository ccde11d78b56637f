package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FaultMatrixTest {
  private static final int SEEDS = 5;
  private static final long PAIR_SEED = 4;

  @Test
  void everyFaultAtEveryStep() {
    requireNoViolation("single faults", FaultMatrixReport.singles(1, SEEDS));
  }

  @Test
  void everyPairOfFaults() {
    requireNoViolation("pairs", FaultMatrixReport.pairs(PAIR_SEED, 1));
  }

  private static void requireNoViolation(String name, List<FaultMatrixReport.Run> runs) {
    System.out.println("fault matrix, " + FaultMatrixReport.summary(name, runs));
    assertThat(FaultMatrixReport.violations(runs)).isEmpty();
    assertThat(runs).allMatch(run -> run.result().accepted() > 0 && run.result().injected() > 0);
  }
}
