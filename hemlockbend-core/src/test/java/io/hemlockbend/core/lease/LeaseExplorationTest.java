package io.hemlockbend.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Every interleaving of a bounded number of steps of two holders, pauses, lost and late answers.
 */
class LeaseExplorationTest {
  private static final int DEPTH = 7;
  private static final int MAX_LATE = 2;
  private static final int MAX_PAUSES = 3;

  private long runs;
  private long landed;
  private long refused;
  private final List<String> violations = new ArrayList<>();

  private interface Step {
    boolean run(LeaseWorld world);
  }

  private static final List<Step> STEPS = steps();

  private static List<Step> steps() {
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      int node = i;
      for (LeaseWorld.Fate fate : LeaseWorld.Fate.values()) {
        steps.add(world -> world.exchange(node, fate));
      }
      steps.add(world -> world.late.size() < MAX_LATE && world.send(node));
      steps.add(world -> world.land(node));
    }
    steps.add(world -> pause(world, LeaseKeeper.RENEW_MILLIS));
    steps.add(world -> pause(world, LeaseWorld.EXPIRY_MILLIS));
    return steps;
  }

  private static boolean pause(LeaseWorld world, long millis) {
    world.nowMillis += millis;
    return world.nowMillis < 1_000_000 + MAX_PAUSES * LeaseWorld.EXPIRY_MILLIS + 1000;
  }

  /** One node holds the lease and the other has seen it. */
  private static LeaseWorld begin(boolean checked) {
    LeaseWorld world = new LeaseWorld(checked);
    for (int i = 0; i < 3; i++) {
      world.exchange(0, LeaseWorld.Fate.ANSWERED);
    }
    assertThat(world.keepers[0].held(world.nowMillis)).isPresent();
    world.exchange(1, LeaseWorld.Fate.ANSWERED);
    return world;
  }

  private void explore(boolean checked, int[] path, int length) {
    for (int choice = 0; choice < STEPS.size(); choice++) {
      path[length] = choice;
      LeaseWorld world = begin(checked);
      boolean ran = true;
      for (int i = 0; i <= length; i++) {
        ran = STEPS.get(path[i]).run(world);
      }
      if (!ran) {
        continue;
      }
      world.checkOneHolder();
      runs++;
      landed += world.landed;
      refused += world.refused;
      if (!world.violation.isEmpty()) {
        violations.add(world.violation);
        continue;
      }
      if (length + 1 < path.length) {
        explore(checked, path, length + 1);
      }
    }
  }

  @Test
  void noWriteLandsAfterOneOfNewerTerm() {
    explore(true, new int[DEPTH], 0);
    System.out.println(
        "lease exploration: " + runs + " runs, " + landed + " landed, " + refused + " refused");
    assertThat(violations).isEmpty();
    assertThat(runs).isGreaterThan(100_000);
    assertThat(landed).isPositive();
    assertThat(refused).isPositive();
  }

  @Test
  void writesWithoutTheConditionAreCaught() {
    explore(false, new int[DEPTH], 0);
    assertThat(violations).isNotEmpty().contains("a write of term 1 after term 2");
  }
}
