package io.hemlockbend.proxy.loop;

import io.hemlockbend.proxy.DecisionSink;

/**
 * Measures how late the event loop's timers run: a loop that is short of processor time, is paused
 * or collects garbage cannot be told from a slow peer otherwise.
 */
public final class LoopWatch {
  private static final long TICK_MILLIS = 100;

  /** From which lateness on a line is logged. */
  private static final long LATE_MILLIS = 200;

  private final EventLoop loop;
  private final DecisionSink sink;
  private long dueMillis;
  private long lateMillis;

  /** Begins to watch a loop. */
  public LoopWatch(EventLoop loop, DecisionSink sink) {
    this.loop = loop;
    this.sink = sink;
    dueMillis = loop.millis() + TICK_MILLIS;
    loop.after(TICK_MILLIS, this::tick);
  }

  /** Returns the sum of all latenesses, in milliseconds. */
  public long lateMillis() {
    return lateMillis;
  }

  private void tick() {
    long nowMillis = loop.millis();
    long late = Math.max(0, nowMillis - dueMillis);
    lateMillis += late;
    if (late >= LATE_MILLIS) {
      Runtime runtime = Runtime.getRuntime();
      sink.decided(
          "loop-late",
          null,
          "lateMillis",
          late,
          "heapUsedBytes",
          runtime.totalMemory() - runtime.freeMemory(),
          "heapMostBytes",
          runtime.maxMemory());
    }
    dueMillis = nowMillis + TICK_MILLIS;
    loop.after(TICK_MILLIS, this::tick);
  }
}
