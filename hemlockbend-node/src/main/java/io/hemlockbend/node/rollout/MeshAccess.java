package io.hemlockbend.node.rollout;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Configuration;
import java.util.Collection;
import java.util.List;

/** Access of control tasks to the control state; for the control thread only. */
public interface MeshAccess {
  /** Returns all known nodes, whatever their status. */
  Collection<Member> members();

  /** Returns the configuration in force. */
  Configuration configuration();

  /** Returns the brakes known to this node. */
  BrakeSet brakes();

  /** Returns whether this node may act: it has caught up and is not fenced. */
  boolean mayAct();

  /** Applies brakes at this node at once and gossips them. */
  void brake(List<Brake> found);

  /** Sends a message. */
  void send(Outbound outbound);
}
