package io.hemlockbend.core.api;

import java.util.Optional;

/**
 * One routing or placement decision, as logged and as explained to operators.
 *
 * @param atMillis the time of the decision, milliseconds since the epoch
 * @param kind what was decided
 * @param request the request that it concerns, when there is one
 * @param route the route, when known
 * @param version the version chosen or concerned, when there is one
 * @param upstream the upstream chosen or concerned, when there is one
 * @param refused whether the request or configuration was refused
 * @param reason the reason, a text that stays the same across releases
 */
public record DecisionRecord(
    long atMillis,
    DecisionKind kind,
    Optional<RequestId> request,
    Optional<RouteName> route,
    Optional<VersionKey> version,
    Optional<UpstreamId> upstream,
    boolean refused,
    String reason) {}
