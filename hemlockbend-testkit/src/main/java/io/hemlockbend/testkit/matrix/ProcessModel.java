package io.hemlockbend.testkit.matrix;

import java.util.ArrayList;
import java.util.List;

/** A process that can be killed, restarted and frozen; actions are deferred while it is frozen. */
final class ProcessModel {
  private final EventQueue queue;
  private final List<Runnable> deferred = new ArrayList<>();
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

  /** Runs an action after a delay, unless the process has died or restarted by then. */
  void deliver(long delayMillis, Runnable action) {
    int targetStart = starts;
    queue.schedule(delayMillis, () -> runIn(targetStart, action));
  }

  /** Runs an action now, or when the process resumes if it is frozen. */
  void run(Runnable action) {
    runIn(starts, action);
  }

  void freeze(long millis) {
    frozen = true;
    queue.schedule(millis, this::resume);
  }

  void kill() {
    alive = false;
    frozen = false;
    deferred.clear();
  }

  void restart() {
    alive = true;
    starts++;
  }

  private void resume() {
    frozen = false;
    List<Runnable> actions = List.copyOf(deferred);
    deferred.clear();
    actions.forEach(this::run);
  }

  private void runIn(int targetStart, Runnable action) {
    if (targetStart != starts || !alive) {
      return;
    }
    if (frozen) {
      deferred.add(action);
    } else {
      action.run();
    }
  }
}
