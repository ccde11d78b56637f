package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.ReportedOutcome;
import java.util.HashMap;
import java.util.Map;

/**
 * The baseline of {@link RequestBench}: round robin over all upstreams without admission, and one
 * unconditional retry on the next upstream after any failure. A 503 counts as "not run", which is
 * how callers of such proxies interpret it.
 */
final class RoundRobinEntry implements Entry, UpstreamModel.Listener {
  private static final long ATTEMPT_TIMEOUT_MILLIS = 500;
  private static final int MAX_ATTEMPTS = 2;

  private final Mesh mesh;
  private final Map<Send, UpstreamModel> inFlight = new HashMap<>();
  private int next;

  RoundRobinEntry(Mesh mesh) {
    this.mesh = mesh;
  }

  @Override
  public boolean alive() {
    return true;
  }

  @Override
  public void receive(Send send) {
    UpstreamModel upstream = mesh.nodes().get(next++ % mesh.nodes().size()).upstream;
    int number = ++send.attempts;
    inFlight.put(send, upstream);
    mesh.queue().schedule(1, () -> upstream.run(send, mesh.queue().now(), this));
    mesh.queue().schedule(ATTEMPT_TIMEOUT_MILLIS, () -> timedOut(send, number));
  }

  @Override
  public void answerStarted(UpstreamModel.Run run) {
    // answers are forwarded only once complete
  }

  @Override
  public void runEnded(UpstreamModel.Run run, UpstreamModel.End end) {
    if (run.send.completed()) {
      return;
    }
    switch (end) {
      case ANSWERED -> {
        inFlight.remove(run.send);
        run.send.complete(new SendOutcome.Answered(run.send.request.number(), true));
      }
      case BROKEN -> failed(run.send, ReportedOutcome.MAY_HAVE_RUN);
      case OVERLOADED, REFUSED -> failed(run.send, ReportedOutcome.NOT_RUN);
      default -> throw new IllegalStateException("unknown end " + end);
    }
  }

  private void timedOut(Send send, int number) {
    if (!send.completed() && send.attempts == number && inFlight.containsKey(send)) {
      inFlight.get(send).cancel(send);
      failed(send, ReportedOutcome.MAY_HAVE_RUN);
    }
  }

  private void failed(Send send, ReportedOutcome outcome) {
    inFlight.remove(send);
    if (send.attempts < MAX_ATTEMPTS) {
      receive(send);
    } else {
      send.complete(new SendOutcome.Refused(outcome, "failed"));
    }
  }
}
