package io.hemlockbend.core.api;

import java.util.Optional;

/**
 * A membership claim about a node; claims about the same node are ordered by incarnation, then
 * status.
 *
 * @param id the node
 * @param region the region that it runs in
 * @param domain the failure domain that it runs in
 * @param control its address for control messages
 * @param mesh its address for requests from other nodes
 * @param incarnation the number of the node's own claim; only the node itself increments it
 * @param status the claimed status
 * @param applied the newest configuration version that the node is known to have in force
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

  /** Returns this claim with another status. */
  public Member withStatus(MemberStatus other) {
    return new Member(id, region, domain, control, mesh, incarnation, other, applied, endpoint);
  }

  /** Returns this claim with another incarnation. */
  public Member withIncarnation(long other) {
    return new Member(id, region, domain, control, mesh, other, status, applied, endpoint);
  }

  /** Returns this claim with another applied version. */
  public Member withApplied(ConfigurationVersion other) {
    return new Member(id, region, domain, control, mesh, incarnation, status, other, endpoint);
  }

  /** Returns this claim with another endpoint. */
  public Member withEndpoint(Optional<Endpoint> other) {
    return new Member(id, region, domain, control, mesh, incarnation, status, applied, other);
  }
}
