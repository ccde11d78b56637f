package io.hemlockbend.node.rollout;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Configuration;
import java.util.Collection;
import java.util.List;

/** What the rollout sees of the control state and may do to it, on the control thread. */
public interface MeshAccess {
  /** Returns all nodes that the mesh knows. */
  Collection<Member> members();

  /** Returns the configuration in force. */
  Configuration configuration();

  /** Returns the brakes that this node knows. */
  BrakeSet brakes();

  /** Returns whether this node may act: it has caught up and is not fenced. */
  boolean current();

  /** Brakes versions at once and spreads the brakes. */
  void brake(List<Brake> found);

  /** Sends a message. */
  void send(Outbound outbound);
}
