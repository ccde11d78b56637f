package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A request whose body came in whole. When it cannot be answered in time any more, it stays here
 * and waits as late: its body would have to be sent once more to wait as late elsewhere.
 */
final class WholeBodyRun {
  private static final Set<String> TOO_LATE =
      Set.of(RefusalReason.DEADLINE.word(), RefusalReason.QUEUE_FULL.word(), "late");

  /** Runs requests. */
  @FunctionalInterface
  interface Upstream {
    /** Runs a request or lets it wait; returns what takes it back. */
    Runnable run(RunRequest request, Consumer<RunEnd> listener);
  }

  private final Upstream upstream;
  private final RunRequest request;
  private final LongSupplier clock;
  private final long beganMillis;
  private final Consumer<RunEnd> listener;
  private Runnable takeBack;
  private boolean late;
  private boolean takenBack;

  /**
   * Makes a run.
   *
   * @param upstream runs the request
   * @param request the request, whole
   * @param clock the time, in milliseconds
   * @param listener hears once how it ended
   */
  WholeBodyRun(
      Upstream upstream, RunRequest request, LongSupplier clock, Consumer<RunEnd> listener) {
    this.upstream = upstream;
    this.request = request;
    this.clock = clock;
    this.beganMillis = clock.getAsLong();
    this.listener = listener;
    this.late = request.targetMillis() <= 0;
  }

  /** Runs the request or lets it wait. */
  void start() {
    Runnable back = upstream.run(request, this::ended);
    if (takeBack == null) {
      takeBack = back;
    }
  }

  /** Takes the request back, as its caller left. */
  void takeBack() {
    takenBack = true;
    takeBack.run();
  }

  private void ended(RunEnd end) {
    RunRequest rest = request.after(clock.getAsLong() - beganMillis);
    boolean again =
        !late
            && !takenBack
            && rest.remainingMillis() > 0
            && end instanceof RunEnd.NotRun notRun
            && !notRun.arrived()
            && TOO_LATE.contains(notRun.reason());
    if (!again) {
      listener.accept(end);
      return;
    }
    late = true;
    takeBack = upstream.run(rest.late(), this::ended);
  }
}
