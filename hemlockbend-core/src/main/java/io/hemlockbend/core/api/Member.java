package io.hemlockbend.core.api;

import java.util.Optional;

/**
 * A node as the mesh knows it; claims about the same node are ordered by incarnation, then status.
 *
 * @param id the node
 * @param region where it runs
 * @param domain the failure domain that it runs in
 * @param control where it takes control messages
 * @param mesh where it takes requests from other nodes
 * @param incarnation counts the node's own claims; only the node itself raises it
 * @param status what the mesh believes of it
 * @param applied the newest configuration that the node is known to have in force
 * @param endpoint the upstream beside it, when one has announced itself
 */
public record Member(
    NodeId id,
    Region region,
    FailureDomain domain,
    NodeAddress control,
    NodeAddress mesh,
    long incarnation,
    MemberStatus status,
    ConfigurationVersion applied,
    Optional<Endpoint> endpoint) {

  /** Returns the same claim with another status. */
  public Member withStatus(MemberStatus other) {
    return new Member(id, region, domain, control, mesh, incarnation, other, applied, endpoint);
  }

  /** Returns the same claim with another incarnation. */
  public Member withIncarnation(long other) {
    return new Member(id, region, domain, control, mesh, other, status, applied, endpoint);
  }

  /** Returns the same claim with another applied version. */
  public Member withApplied(ConfigurationVersion other) {
    return new Member(id, region, domain, control, mesh, incarnation, status, other, endpoint);
  }

  /** Returns the same claim with another endpoint. */
  public Member withEndpoint(Optional<Endpoint> other) {
    return new Member(id, region, domain, control, mesh, incarnation, status, applied, other);
  }
}
