package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.node.forward.Call;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Receives the outcomes of requests on the upstream. Called by traffic threads; must not block. */
public interface RunListener {
  /**
   * Called when a request ended.
   *
   * @param call the request
   * @param outcome how it ended
   * @param serviceMillis time that the upstream took, in milliseconds
   * @param cold whether the upstream was in its cold start when the request was admitted
   */
  void ended(Call call, RunOutcome outcome, double serviceMillis, boolean cold);

  /**
   * Called when the upstream crashed.
   *
   * @param inFlight a report for each request that was in flight
   */
  void crashed(List<Suspicion> inFlight);

  /**
   * Called when a connection to the upstream could not be opened.
   *
   * @return completes once the crash was reported to other nodes; never, if this node stops before
   */
  CompletableFuture<Void> unreachable();
}
