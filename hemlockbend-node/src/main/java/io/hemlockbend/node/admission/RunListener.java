package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.node.forward.Call;
import java.util.List;

/** Hears how requests ended on the upstream; called by traffic threads, must not block. */
public interface RunListener {
  /**
   * Tells that a request ended.
   *
   * @param call the request
   * @param outcome how it ended
   * @param serviceMillis how long the upstream worked on it
   * @param cold whether the upstream was in its cold start when the request was let in
   */
  void ended(Call call, RunOutcome outcome, double serviceMillis, boolean cold);

  /**
   * Tells that the upstream crashed.
   *
   * @param inFlight a report for each request that was in flight
   */
  void crashed(List<Suspicion> inFlight);

  /** Tells that the upstream takes no connections. */
  void unreachable();
}
