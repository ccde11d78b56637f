package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.node.log.DecisionListener;
import java.util.Optional;

/** Writes configurations that were put in force or refused to the decision log. */
public final class ApplyLog implements ApplyListener {
  private final DecisionListener decisions;
  private final Clock clock;

  /**
   * Creates the log.
   *
   * @param decisions receives the decisions
   * @param clock the time source
   */
  public ApplyLog(DecisionListener decisions, Clock clock) {
    this.decisions = decisions;
    this.clock = clock;
  }

  @Override
  public void applied(VersionMark mark) {
    log(mark, false, "in force");
  }

  @Override
  public void refused(VersionMark mark, String reason) {
    log(mark, true, reason);
  }

  private void log(VersionMark mark, boolean refused, String reason) {
    decisions.decided(
        new DecisionRecord(
            clock.millis(),
            DecisionKind.APPLY,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            refused,
            "configuration " + mark.version() + ": " + reason));
  }
}
