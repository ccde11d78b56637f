package io.hemlockbend.proxy.loop;

import java.util.concurrent.Executor;

/** Starts the loop's thread for the first task, the selector's own, and queues all others on it. */
final class LoopExecutor implements Executor {
  private EventLoop loop;
  private boolean started;

  void attach(EventLoop owner) {
    loop = owner;
  }

  @Override
  public synchronized void execute(Runnable task) {
    if (started) {
      loop.execute(task);
      return;
    }
    started = true;
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
                loop.threadEnded(null);
              } catch (RuntimeException | Error e) {
                loop.threadEnded(e);
              }
            },
            "event-loop");
    thread.start();
  }
}
