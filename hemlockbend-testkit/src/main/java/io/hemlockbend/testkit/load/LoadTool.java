package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.TraceRecord;
import java.util.concurrent.Phaser;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;

/** Generates open-loop load: each call is sent when it is due, independent of earlier calls. */
public final class LoadTool {
  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_QUEUED = 100_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private LoadTool() {}

  /**
   * Generates the load and waits until every call has ended.
   *
   * @param plan the load to generate
   * @param trace receives the record of each call; called by several threads
   */
  public static LoadReport run(LoadPlan plan, Consumer<TraceRecord.Call> trace) throws Exception {
    HttpClient client = new HttpClient();
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
    client.setUserAgentField(null);
    client.start();
    try {
      return run(plan, trace, new CallSender(client, plan, System::currentTimeMillis));
    } finally {
      client.stop();
    }
  }

  private static LoadReport run(
      LoadPlan plan, Consumer<TraceRecord.Call> trace, CallSender sender) {
    LoadRecorder recorder = new LoadRecorder();
    Phaser inFlight = new Phaser(1);
    long startMillis = System.currentTimeMillis();
    long startNanos = System.nanoTime();
    CallPlanner planner = new CallPlanner(plan);
    while (planner.hasNext()) {
      PlannedCall call = planner.next();
      waitUntil(startNanos + call.dueNanos());
      inFlight.register();
      sender
          .send(call, startMillis + call.dueNanos() / NANOS_PER_MILLI)
          .whenComplete(
              (ended, failure) -> {
                recorder.record(call.dueNanos(), System.nanoTime() - startNanos, ended);
                trace.accept(ended);
                inFlight.arriveAndDeregister();
              });
    }
    inFlight.arriveAndAwaitAdvance();
    return recorder.report();
  }

  private static void waitUntil(long nanos) {
    long remaining = nanos - System.nanoTime();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = nanos - System.nanoTime();
    }
  }
}
