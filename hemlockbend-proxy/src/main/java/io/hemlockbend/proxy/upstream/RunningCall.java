package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.Ticket;
import io.hemlockbend.proxy.loop.Timer;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.function.Consumer;

/** A request at the node beside its upstream, from arrival to completion. */
final class RunningCall {
  final RunRequest run;
  final AdmissionRequest admission;
  final Consumer<RunEnd> listener;
  final long deadlineMillis;
  final AdmissionController controller;
  Ticket ticket;
  Permit permit;
  UpstreamPool.Call call;
  Timer deadline;
  long sentMillis;
  boolean ended;

  RunningCall(
      RunRequest run,
      AdmissionRequest admission,
      AdmissionController controller,
      Consumer<RunEnd> listener,
      long arrivedMillis) {
    this.run = run;
    this.admission = admission;
    this.listener = listener;
    this.deadlineMillis = arrivedMillis + run.remainingMillis();
    this.controller = controller;
  }

  /**
   * Completes the call and passes its outcome to the listener; does nothing after the first time.
   */
  void end(RunEnd end) {
    if (ended) {
      return;
    }
    ended = true;
    if (deadline != null) {
      deadline.cancel();
    }
    listener.accept(end);
  }
}
