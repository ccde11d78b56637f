package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A request whose body has been received. If it can no longer be answered within its target, it is
 * queued here as late, because its body would have to be sent again to queue at another node.
 */
final class WholeBodyRun {
  private static final Set<String> LATE_REASONS =
      Set.of(RefusalReason.DEADLINE.reasonToken(), RefusalReason.QUEUE_FULL.reasonToken(), "late");

  /** Runs requests. */
  @FunctionalInterface
  interface Upstream {
    /** Runs or queues a request; returns the action that cancels it. */
    Runnable run(RunRequest request, Consumer<RunEnd> listener);
  }

  private final Upstream upstream;
  private final RunRequest request;
  private final LongSupplier clock;
  private final long startMillis;
  private final Consumer<RunEnd> listener;
  private Runnable cancelRun;
  private boolean late;
  private boolean cancelled;

  /**
   * Creates a run.
   *
   * @param upstream runs the request
   * @param request the request with its body
   * @param clock the time, in milliseconds
   * @param listener called once with the outcome
   */
  WholeBodyRun(
      Upstream upstream, RunRequest request, LongSupplier clock, Consumer<RunEnd> listener) {
    this.upstream = upstream;
    this.request = request;
    this.clock = clock;
    this.startMillis = clock.getAsLong();
    this.listener = listener;
    this.late = request.targetMillis() <= 0;
  }

  /** Runs or queues the request. */
  void start() {
    Runnable cancel = upstream.run(request, this::ended);
    if (cancelRun == null) {
      cancelRun = cancel;
    }
  }

  /** Cancels the request because its caller disconnected. */
  void cancel() {
    cancelled = true;
    cancelRun.run();
  }

  private void ended(RunEnd end) {
    RunRequest remaining = request.withElapsed(clock.getAsLong() - startMillis);
    boolean retryAsLate =
        !late
            && !cancelled
            && remaining.remainingMillis() > 0
            && end instanceof RunEnd.NotRun notRun
            && !notRun.reachedUpstream()
            && LATE_REASONS.contains(notRun.reason());
    if (!retryAsLate) {
      listener.accept(end);
      return;
    }
    late = true;
    cancelRun = upstream.run(remaining.asLate(), this::ended);
  }
}
