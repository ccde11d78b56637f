package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/**
 * What a node knew of the mesh at one moment.
 *
 * @param inForce the configuration in force at this node
 * @param configuration its content
 * @param members all nodes known, with the newest version that each is known to have in force
 */
public record MeshSnapshot(VersionMark inForce, Configuration configuration, List<Member> members) {
  /** What a node knows that has just started. */
  public static final MeshSnapshot NONE =
      new MeshSnapshot(VersionMark.NONE, Configuration.EMPTY, List.of());
}
