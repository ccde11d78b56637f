package io.hemlockbend.testkit.rollout;

import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual times; those of equal time in scheduling order. */
final class VirtualTime {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMillis;
  private long added;

  VirtualTime(long startMillis) {
    nowMillis = startMillis;
  }

  long nowMillis() {
    return nowMillis;
  }

  void after(long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, added++, action));
  }

  void every(long periodMillis, Runnable action) {
    after(
        periodMillis,
        () -> {
          action.run();
          every(periodMillis, action);
        });
  }

  void runUntil(long endMillis) {
    while (!tasks.isEmpty() && tasks.peek().atMillis <= endMillis) {
      Task task = tasks.poll();
      nowMillis = task.atMillis;
      task.action.run();
    }
    nowMillis = endMillis;
  }

  private record Task(long atMillis, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
