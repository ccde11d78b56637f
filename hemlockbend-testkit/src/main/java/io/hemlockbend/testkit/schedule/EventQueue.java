package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.Clock;
import java.util.PriorityQueue;

/**
 * Runs actions in order of virtual time. Actions due at the same time run in the order in which
 * they were added, so runs are reproducible.
 */
public final class EventQueue implements Clock {
  /** Microseconds per millisecond. */
  public static final long MICROS_PER_MILLI = 1_000;

  private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMicros;
  private long lastOrder;

  /** Creates an empty queue at time zero. */
  public EventQueue() {}

  /** Returns the virtual time in microseconds. */
  public long nowMicros() {
    return nowMicros;
  }

  @Override
  public long millis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  /** Schedules an action after a delay; a negative delay counts as zero. */
  public void after(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), ++lastOrder, action));
  }

  /** Schedules an action after a delay in milliseconds. */
  public void afterMillis(long delayMillis, Runnable action) {
    after(delayMillis * MICROS_PER_MILLI, action);
  }

  /** Runs all events due up to a time and advances the clock to it. */
  public void runUntilMillis(long untilMillis) {
    long untilMicros = untilMillis * MICROS_PER_MILLI;
    while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
      Event next = events.poll();
      nowMicros = next.atMicros();
      next.action().run();
    }
    nowMicros = untilMicros;
  }
}
