package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What happened in a run, for the checks. */
public final class RunLog {
  /**
   * The table accepted a configuration.
   *
   * @param mark its number and digest
   * @param atMillis when
   */
  public record Accepted(VersionMark mark, long atMillis) {}

  /**
   * A node put a configuration in force; the empty one when it began to serve without.
   *
   * @param node the node
   * @param mark the number and digest that it was applied as
   * @param configuration the configuration
   * @param atMillis when
   */
  public record Applied(
      NodeId node, VersionMark mark, Configuration configuration, long atMillis) {}

  /**
   * A look at a node that serves, at a moment of no fault.
   *
   * @param node the node
   * @param mark what it has in force
   * @param atMillis when
   */
  public record Serving(NodeId node, VersionMark mark, long atMillis) {}

  private final List<Accepted> accepted = new ArrayList<>();
  private final List<Applied> applied = new ArrayList<>();
  private final List<Serving> serving = new ArrayList<>();
  private final boolean keepsConfigurations;
  private long faultsEndedMillis;

  /**
   * Makes an empty log.
   *
   * @param keepsConfigurations whether it keeps what was applied, or its number and digest only
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

  /** Returns the acceptances in their order. */
  public List<Accepted> accepted() {
    return Collections.unmodifiableList(accepted);
  }

  /** Returns what nodes applied, in the order of time. */
  public List<Applied> applied() {
    return Collections.unmodifiableList(applied);
  }

  /** Returns the looks at serving nodes. */
  public List<Serving> serving() {
    return Collections.unmodifiableList(serving);
  }

  /** Returns when the last fault ended. */
  public long faultsEndedMillis() {
    return faultsEndedMillis;
  }
}
