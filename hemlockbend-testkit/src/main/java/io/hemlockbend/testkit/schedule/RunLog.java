package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Events of a run that the checks examine. */
public final class RunLog {
  /**
   * Acceptance of a configuration by the table.
   *
   * @param mark its version and digest
   * @param atMillis when
   */
  public record Accepted(VersionMark mark, long atMillis) {}

  /**
   * Application of a configuration by a node; an empty one when the node starts to serve without a
   * configuration.
   *
   * @param node the node
   * @param mark the version and digest that it was applied under
   * @param configuration the configuration
   * @param atMillis when
   */
  public record Applied(
      NodeId node, VersionMark mark, Configuration configuration, long atMillis) {}

  /**
   * Observation of a serving node after the faults have ended.
   *
   * @param node the node
   * @param mark the version and digest that it has in force
   * @param atMillis when
   */
  public record Serving(NodeId node, VersionMark mark, long atMillis) {}

  private final List<Accepted> accepted = new ArrayList<>();
  private final List<Applied> applied = new ArrayList<>();
  private final List<Serving> serving = new ArrayList<>();
  private final boolean keepsConfigurations;
  private long faultsEndedMillis;

  /**
   * Creates an empty log.
   *
   * @param keepsConfigurations whether it keeps the applied configurations, or only their version
   *     and digest
   */
  public RunLog(boolean keepsConfigurations) {
    this.keepsConfigurations = keepsConfigurations;
  }

  void noteAccepted(VersionMark mark, long atMillis) {
    accepted.add(new Accepted(mark, atMillis));
  }

  void noteApplied(NodeId node, VersionMark mark, Configuration configuration, long atMillis) {
    Configuration kept = keepsConfigurations ? configuration : Configuration.EMPTY;
    applied.add(new Applied(node, mark, kept, atMillis));
  }

  void noteServing(NodeId node, VersionMark mark, long atMillis) {
    serving.add(new Serving(node, mark, atMillis));
  }

  void noteFaultsEnded(long atMillis) {
    faultsEndedMillis = atMillis;
  }

  /** Returns the acceptances in order of time. */
  public List<Accepted> accepted() {
    return Collections.unmodifiableList(accepted);
  }

  /** Returns the applications in order of time. */
  public List<Applied> applied() {
    return Collections.unmodifiableList(applied);
  }

  /** Returns the observations of serving nodes in order of time. */
  public List<Serving> serving() {
    return Collections.unmodifiableList(serving);
  }

  /** Returns the virtual time at which the faults ended; 0 before. */
  public long faultsEndedMillis() {
    return faultsEndedMillis;
  }
}
