package io.hemlockbend.testkit.matrix;

import java.util.ArrayList;
import java.util.List;

/** A process that may die, start again, and be paused: what comes in a pause waits for its end. */
final class ProcessModel {
  private final EventQueue queue;
  private final List<Runnable> frozenWork = new ArrayList<>();
  private boolean alive = true;
  private boolean frozen;
  private int starts = 1;

  ProcessModel(EventQueue queue) {
    this.queue = queue;
  }

  boolean alive() {
    return alive;
  }

  int starts() {
    return starts;
  }

  /** Runs an action in this start of the process after a while, never once it has died. */
  void deliver(long delayMillis, Runnable action) {
    int sentTo = starts;
    queue.in(delayMillis, () -> runIn(sentTo, action));
  }

  /** Runs an action now, or at the end of the pause. */
  void run(Runnable action) {
    runIn(starts, action);
  }

  void freeze(long millis) {
    frozen = true;
    queue.in(millis, this::thaw);
  }

  void kill() {
    alive = false;
    frozen = false;
    frozenWork.clear();
  }

  void restart() {
    alive = true;
    starts++;
  }

  private void thaw() {
    frozen = false;
    List<Runnable> work = List.copyOf(frozenWork);
    frozenWork.clear();
    work.forEach(this::run);
  }

  private void runIn(int sentTo, Runnable action) {
    if (sentTo != starts || !alive) {
      return;
    }
    if (frozen) {
      frozenWork.add(action);
    } else {
      action.run();
    }
  }
}
