package io.hemlockbend.node.control;

import io.hemlockbend.core.message.PeerMessage.VersionMark;

/** Hears which configurations were put in force here, and which were refused. */
public interface ApplyListener {
  /**
   * Tells that a configuration is in force.
   *
   * @param mark its number and digest
   */
  void applied(VersionMark mark);

  /**
   * Tells that a configuration was refused whole.
   *
   * @param mark its number and digest
   * @param reason what was wrong
   */
  void refused(VersionMark mark, String reason);
}
