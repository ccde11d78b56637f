package io.hemlockbend.node.log;

import io.hemlockbend.core.api.DecisionRecord;

/** Receives every decision; called by traffic threads and by the control thread. */
@FunctionalInterface
public interface DecisionListener {
  /**
   * Called after each decision; must not block.
   *
   * @param decision the decision
   */
  void decided(DecisionRecord decision);
}
