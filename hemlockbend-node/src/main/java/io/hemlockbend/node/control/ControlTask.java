package io.hemlockbend.node.control;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Configuration;

/** A task of the control thread in addition to membership and distribution. */
public interface ControlTask {
  /**
   * Does the work that is due; called at each tick.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  void tick(long nowMillis);

  /**
   * Handles a message; ignores those that do not concern the task.
   *
   * @param message the message
   * @param nowMillis the time, milliseconds since the epoch
   */
  void received(PeerMessage message, long nowMillis);

  /**
   * Called when another configuration is in force.
   *
   * @param configuration the configuration
   * @param nowMillis the time, milliseconds since the epoch
   */
  void applied(Configuration configuration, long nowMillis);
}
