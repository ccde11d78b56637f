package io.hemlockbend.node;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.node.admission.RunListener;
import io.hemlockbend.node.control.ControlLoop;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.rollout.EvidenceInbox;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Forwards admission events of the upstream to the evidence inbox and the control loop. */
final class RunEventForwarder implements RunListener {
  private final EvidenceInbox inbox;
  private volatile ControlLoop control;

  RunEventForwarder(EvidenceInbox inbox) {
    this.inbox = inbox;
  }

  /** Sets the control loop, which is created after admission. */
  void bind(ControlLoop loop) {
    control = loop;
  }

  @Override
  public void ended(Call call, RunOutcome outcome, double serviceMillis, boolean cold) {
    inbox.ended(call, outcome, serviceMillis, cold);
  }

  @Override
  public void crashed(List<Suspicion> inFlight) {
    if (!inFlight.isEmpty()) {
      control.suspected(inFlight);
    }
  }

  @Override
  public CompletableFuture<Void> unreachable() {
    return control.upstreamUnreachable();
  }
}
