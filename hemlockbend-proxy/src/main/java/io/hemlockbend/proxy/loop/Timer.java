package io.hemlockbend.proxy.loop;

/** A task that the event loop runs at its due time, unless it was cancelled before. */
public final class Timer implements Comparable<Timer> {
  private final long dueMillis;
  private final long order;
  private Runnable task;

  Timer(long dueMillis, long order, Runnable task) {
    this.dueMillis = dueMillis;
    this.order = order;
    this.task = task;
  }

  /** Cancels the task; does nothing when it has run. */
  public void cancel() {
    task = null;
  }

  long dueMillis() {
    return dueMillis;
  }

  boolean cancelled() {
    return task == null;
  }

  void run() {
    Runnable due = task;
    task = null;
    if (due != null) {
      due.run();
    }
  }

  @Override
  public int compareTo(Timer other) {
    int byTime = Long.compare(dueMillis, other.dueMillis);
    return byTime != 0 ? byTime : Long.compare(order, other.order);
  }
}
