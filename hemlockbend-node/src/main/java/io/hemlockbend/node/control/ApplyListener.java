package io.hemlockbend.node.control;

import io.hemlockbend.core.message.PeerMessage.VersionMark;

/** Receives the configurations that were put in force at this node, and those refused. */
public interface ApplyListener {
  /**
   * Called when a configuration is in force.
   *
   * @param mark its version and digest
   */
  void applied(VersionMark mark);

  /**
   * Called when a configuration was refused; none of its parts is in force.
   *
   * @param mark its version and digest
   * @param reason why it was refused
   */
  void refused(VersionMark mark, String reason);
}
