package io.hemlockbend.proxy.loop;

import io.hemlockbend.proxy.DecisionSink;

/**
 * Measures the lag of the event loop's timers. Without it, a loop that is short of processor time,
 * paused or collecting garbage cannot be distinguished from a slow peer.
 */
public final class LoopLagMonitor {
  private static final long TICK_MILLIS = 100;

  /** Minimum lag that is logged. */
  private static final long LATE_MILLIS = 200;

  private final EventLoop loop;
  private final DecisionSink sink;
  private long dueMillis;
  private long totalLagMillis;

  /** Starts measuring a loop. */
  public LoopLagMonitor(EventLoop loop, DecisionSink sink) {
    this.loop = loop;
    this.sink = sink;
    dueMillis = loop.millis() + TICK_MILLIS;
    loop.after(TICK_MILLIS, this::tick);
  }

  /** Returns the total lag of all ticks, in milliseconds. */
  public long totalLagMillis() {
    return totalLagMillis;
  }

  private void tick() {
    long nowMillis = loop.millis();
    long late = Math.max(0, nowMillis - dueMillis);
    totalLagMillis += late;
    if (late >= LATE_MILLIS) {
      Runtime runtime = Runtime.getRuntime();
      sink.emit(
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
