package io.hemlockbend.node.admin;

import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.Collection;
import java.util.List;

/** The state of the mesh as this node knows it without the platform; thread-safe. */
public interface MeshView {
  /** Returns the version and digest of the configuration in force on this node. */
  VersionMark inForce();

  /** Returns the configuration in force on this node. */
  Configuration configuration();

  /** Returns the known members of the mesh, including this node. */
  Collection<Member> members();

  /**
   * Returns this node's recent decisions on a request, oldest first.
   *
   * @param request the request's id
   */
  List<DecisionRecord> decisions(RequestId request);
}
