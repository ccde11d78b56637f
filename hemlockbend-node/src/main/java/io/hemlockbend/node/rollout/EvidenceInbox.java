package io.hemlockbend.node.rollout;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.evidence.CallOutcome;
import io.hemlockbend.core.evidence.EvidenceCounter;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.node.forward.Call;
import java.util.Optional;

/** Collects call outcomes from traffic threads and reports the counts to the control thread. */
public final class EvidenceInbox {
  private final EvidenceCounter counter;

  /**
   * Creates an inbox.
   *
   * @param counter counts the calls
   */
  public EvidenceInbox(EvidenceCounter counter) {
    this.counter = counter;
  }

  /**
   * Counts a call. Calls that were never sent or were cancelled are not evidence.
   *
   * @param call the call
   * @param outcome how it ended
   * @param serviceMillis time that the upstream took, in milliseconds
   * @param cold whether the upstream was in its cold start
   */
  public void ended(Call call, RunOutcome outcome, double serviceMillis, boolean cold) {
    if (outcome == RunOutcome.NOT_SENT || outcome == RunOutcome.CANCELLED) {
      return;
    }
    boolean failed = outcome != RunOutcome.ANSWERED && outcome != RunOutcome.OVERLOADED;
    CallOutcome counted =
        new CallOutcome(call.version(), call.route(), failed, serviceMillis, cold);
    synchronized (counter) {
      counter.record(counted);
    }
  }

  Optional<EvidenceReport> report(long nowMillis) {
    synchronized (counter) {
      return counter.report(nowMillis);
    }
  }
}
