package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.retry.RetryBounds;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Load: an upstream refuses everything, so that every request asks for retries, on all nodes at
 * once. The nodes get random parts of the requests and restart together at a random time; each does
 * not know the others at first. In each window, the retries of all nodes stay within the bound.
 */
class RetryBudgetsProperties {
  private static final ServiceName ORDERS = new ServiceName("commandes");
  private static final ServiceName STOCK = new ServiceName("atelier");
  private static final long WINDOW_MILLIS = 10_000;
  private static final long STEP_MILLIS = 100;
  private static final int STEPS = 400;
  private static final int STEPS_PER_WINDOW = (int) (WINDOW_MILLIS / STEP_MILLIS);
  private static final int MAX_RETRIES_PER_REQUEST = 3;
  private static final long NODES_UNKNOWN_MILLIS = 1_500;
  private static final RetryBounds BOUNDS = new RetryBounds(0.2, 62, WINDOW_MILLIS);

  /** How many of the latest runs at the first service the share of repeats is taken from. */
  private static final int RECENT_RUNS = 40;

  private final Counts orders = new Counts();
  private final Counts stock = new Counts();
  private final ArrayDeque<Boolean> recentRuns = new ArrayDeque<>();
  private long now;

  private static final class Counts {
    final int[] requests = new int[STEPS];
    final int[] retries = new int[STEPS];
  }

  @Property(tries = 60, seed = "22")
  void retriesOfAllNodesStayWithinTheBound(
      @ForAll @IntRange(min = 12, max = 95) int nodes,
      @ForAll @IntRange(min = 1, max = 60) int requestsPerStep,
      @ForAll @IntRange(min = 0, max = STEPS) int restartStep,
      @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[] weights = random.doubles(nodes).map(weight -> weight * weight).toArray();
    RetryBudgets[] budgets = start(nodes);
    for (int step = 0; step < STEPS; step++) {
      now += STEP_MILLIS;
      if (step == restartStep) {
        budgets = start(nodes);
      }
      for (int i = 0; i < requestsPerStep; i++) {
        requestOrder(budgets, budgets[draw(weights, random)], step, random);
      }
    }
    assertWithinBound(orders);
    assertWithinBound(stock);
  }

  private static void assertWithinBound(Counts counts) {
    for (int end = 3 * STEPS_PER_WINDOW / 2; end <= STEPS; end++) {
      assertThat(sum(counts.retries, end))
          .as("retries of the window that ends with step %d", end)
          .isLessThanOrEqualTo((int) (BOUNDS.ratio() * mostRequests(counts, end) + BOUNDS.slack()));
    }
  }

  private RetryBudgets[] start(int nodes) {
    long startMillis = now;
    RetryBudgets[] started = new RetryBudgets[nodes];
    for (int i = 0; i < nodes; i++) {
      started[i] =
          new RetryBudgets(
              () -> now, BOUNDS, () -> now - startMillis < NODES_UNKNOWN_MILLIS ? 0 : nodes);
    }
    return started;
  }

  private void requestOrder(
      RetryBudgets[] all, RetryBudgets entry, int step, SplittableRandom random) {
    orders.requests[step]++;
    entry.recordCall(ORDERS, false, 0);
    requestStock(all[random.nextInt(all.length)], false, step);
    for (int i = 0; i < MAX_RETRIES_PER_REQUEST && entry.tryAcquire(ORDERS, false); i++) {
      orders.retries[step]++;
      requestStock(all[random.nextInt(all.length)], true, step);
    }
  }

  private void requestStock(RetryBudgets entry, boolean repeated, int step) {
    recentRuns.add(repeated);
    if (recentRuns.size() > RECENT_RUNS) {
      recentRuns.poll();
    }
    double repeats = recentRuns.stream().filter(repeat -> repeat).count();
    stock.requests[step]++;
    stock.retries[step] += repeated ? 1 : 0;
    entry.recordCall(STOCK, true, repeats / recentRuns.size());
    for (int i = 0; i < MAX_RETRIES_PER_REQUEST && entry.tryAcquire(STOCK, true); i++) {
      stock.retries[step]++;
    }
  }

  private static int draw(double[] weights, SplittableRandom random) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double drawn = random.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && drawn >= weights[index]) {
      drawn -= weights[index];
      index++;
    }
    return index;
  }

  /** Returns the requests of the window, or of the one half a window or a window before it. */
  private static int mostRequests(Counts counts, int end) {
    int most = 0;
    for (int lag = 0; lag <= STEPS_PER_WINDOW; lag += STEPS_PER_WINDOW / 2) {
      most = Math.max(most, sum(counts.requests, end - lag));
    }
    return most;
  }

  private static int sum(int[] counts, int end) {
    int sum = 0;
    for (int step = Math.max(0, end - STEPS_PER_WINDOW); step < end; step++) {
      sum += counts[step];
    }
    return sum;
  }
}
