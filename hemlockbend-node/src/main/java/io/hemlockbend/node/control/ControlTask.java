package io.hemlockbend.node.control;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Configuration;

/** Work that the control thread does besides membership and distribution. */
public interface ControlTask {
  /**
   * Does what is due.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  void tick(long nowMillis);

  /**
   * Takes in a message; passes over those that do not concern it.
   *
   * @param message the message
   * @param nowMillis the time, milliseconds since the epoch
   */
  void received(PeerMessage message, long nowMillis);

  /**
   * Takes in the configuration that is in force now.
   *
   * @param configuration the configuration
   * @param nowMillis the time, milliseconds since the epoch
   */
  void applied(Configuration configuration, long nowMillis);
}
