package io.hemlockbend.node.log;

import io.hemlockbend.core.api.DecisionRecord;

/** Hears of each decision; called by traffic threads and by the control thread. */
@FunctionalInterface
public interface DecisionListener {
  /**
   * Takes note of a decision; must not block.
   *
   * @param decision the decision
   */
  void decided(DecisionRecord decision);
}
