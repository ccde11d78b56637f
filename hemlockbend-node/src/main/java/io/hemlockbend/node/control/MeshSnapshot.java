package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.node.commit.CurrentRowReader;
import java.util.List;

/**
 * The state of the mesh as a node knew it at one moment.
 *
 * @param inForce version and digest of the configuration in force at this node
 * @param configuration its content
 * @param members all known nodes, each with the newest version known to be in force there
 */
public record MeshSnapshot(VersionMark inForce, Configuration configuration, List<Member> members) {
  /** The snapshot of a node that has just started. */
  public static final MeshSnapshot NONE =
      new MeshSnapshot(VersionMark.NONE, Configuration.EMPTY, List.of());

  /** Returns the configuration in force, as the table must show it. */
  public CurrentRowReader.InForce accepted() {
    return new CurrentRowReader.InForce(inForce, configuration);
  }
}
