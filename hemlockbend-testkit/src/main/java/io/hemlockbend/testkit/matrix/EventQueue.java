package io.hemlockbend.testkit.matrix;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; those of equal time in scheduling order. */
final class EventQueue {
  private record Event(long atMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private long nowMillis;
  private long lastSequence;

  long now() {
    return nowMillis;
  }

  void schedule(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, ++lastSequence, action));
  }

  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = Math.max(nowMillis, endMillis);
  }
}
