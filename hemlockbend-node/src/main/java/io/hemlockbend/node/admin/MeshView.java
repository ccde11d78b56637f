package io.hemlockbend.node.admin;

import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.Collection;
import java.util.List;

/** What the node knows without asking the platform; safe for use by any thread. */
public interface MeshView {
  /** Returns number and digest of the configuration in force on this node. */
  VersionMark inForce();

  /** Returns the configuration in force on this node. */
  Configuration configuration();

  /** Returns the members that this node knows, itself among them. */
  Collection<Member> members();

  /**
   * Returns the decisions on a request that this node remembers, oldest first.
   *
   * @param request the request's id
   */
  List<DecisionRecord> decisions(RequestId request);
}
