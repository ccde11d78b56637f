package io.hemlockbend.proxy.loop;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** Runs Jetty's delayed tasks as timers of the event loop. */
final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
  private EventLoop loop;

  void attach(EventLoop owner) {
    loop = owner;
  }

  @Override
  public Task schedule(Runnable task, long delay, TimeUnit units) {
    Timer timer = loop.after(units.toMillis(delay), task);
    return () -> {
      boolean pending = !timer.cancelled();
      timer.cancel();
      return pending;
    };
  }
}
