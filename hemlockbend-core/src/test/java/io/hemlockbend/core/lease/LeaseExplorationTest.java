package io.hemlockbend.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Explores every interleaving of a bounded number of steps of two nodes: requests with normal, lost
 * or delayed delivery, controller writes and pauses.
 */
class LeaseExplorationTest {
  private static final int DEPTH = 7;
  private static final int MAX_DELAYED = 2;
  private static final int MAX_PAUSES = 3;

  private long runs;
  private long applied;
  private long refused;
  private final List<String> violations = new ArrayList<>();

  private interface Step {
    boolean run(LeaseSimulation simulation);
  }

  private static final List<Step> STEPS = steps();

  private static List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int node = i;
      for (LeaseSimulation.Delivery delivery : LeaseSimulation.Delivery.values()) {
        steps.add(simulation -> simulation.exchange(node, delivery));
      }
      steps.add(simulation -> simulation.delayed.size() < MAX_DELAYED && simulation.send(node));
      steps.add(simulation -> simulation.deliver(node));
    }
    steps.add(simulation -> pause(simulation, LeaseKeeper.RENEW_MILLIS));
    steps.add(simulation -> pause(simulation, LeaseSimulation.EXPIRY_MILLIS));
    return steps;
  }

  private static boolean pause(LeaseSimulation simulation, long millis) {
    simulation.nowMillis += millis;
    return simulation.nowMillis < 1_000_000 + MAX_PAUSES * LeaseSimulation.EXPIRY_MILLIS + 1000;
  }

  /** Returns a state in which node 0 holds the lease and node 1 has read the row. */
  private static LeaseSimulation begin(boolean conditional) {
    LeaseSimulation simulation = new LeaseSimulation(conditional);
    for (int i = 0; i < 3; i++) {
      simulation.exchange(0, LeaseSimulation.Delivery.ANSWERED);
    }
    assertThat(simulation.keepers[0].held(simulation.nowMillis)).isPresent();
    simulation.exchange(1, LeaseSimulation.Delivery.ANSWERED);
    return simulation;
  }

  private void explore(boolean conditional, int[] path, int length) {
    for (int choice = 0; choice < STEPS.size(); choice++) {
      path[length] = choice;
      LeaseSimulation simulation = begin(conditional);
      boolean ran = true;
      for (int i = 0; i <= length; i++) {
        ran = STEPS.get(path[i]).run(simulation);
      }
      if (!ran) {
        continue;
      }
      simulation.checkOneHolder();
      runs++;
      applied += simulation.applied;
      refused += simulation.refused;
      if (!simulation.violation.isEmpty()) {
        violations.add(simulation.violation);
        continue;
      }
      if (length + 1 < path.length) {
        explore(conditional, path, length + 1);
      }
    }
  }

  @Test
  void noWriteIsAppliedAfterOneOfNewerTerm() {
    explore(true, new int[DEPTH], 0);
    System.out.println(
        "lease exploration: " + runs + " runs, " + applied + " applied, " + refused + " refused");
    assertThat(violations).isEmpty();
    assertThat(runs).isGreaterThan(100_000);
    assertThat(applied).isPositive();
    assertThat(refused).isPositive();
  }

  @Test
  void explorationDetectsWritesWithoutTheLeaseCondition() {
    explore(false, new int[DEPTH], 0);
    assertThat(violations).isNotEmpty().contains("a write of term 1 after term 2");
  }
}
