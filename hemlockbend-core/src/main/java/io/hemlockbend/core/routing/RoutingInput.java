package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Configuration;
import java.util.List;
import java.util.Set;

/**
 * Input from which a routing table is built.
 *
 * @param configuration the configuration in force
 * @param members all known nodes of the mesh
 * @param braked versions that must get no traffic, regardless of the configuration
 * @param own the failure domain of this node
 * @param nowMillis the time, milliseconds since the epoch
 */
public record RoutingInput(
    Configuration configuration,
    List<Member> members,
    Set<VersionKey> braked,
    FailureDomain own,
    long nowMillis) {

  /** Copies the collections. */
  public RoutingInput {
    members = List.copyOf(members);
    braked = Set.copyOf(braked);
  }
}
