package io.hemlockbend.core.model;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;

/** One change to a configuration, staged by an operator or made by the rollout controller. */
public sealed interface Change {

  /**
   * Adds a route or replaces the route of the same name.
   *
   * @param route the route
   */
  record PutRoute(Route route) implements Change {}

  /**
   * Removes a route.
   *
   * @param route the route's name
   */
  record RemoveRoute(RouteName route) implements Change {}

  /**
   * Adds an upstream version, or makes one usable again that was taken back. The first version of a
   * service creates the service and becomes its active version.
   *
   * @param key the service and version
   * @param owner the team that owns the service; ignored when the service exists
   */
  record AddVersion(VersionKey key, TeamName owner) implements Change {}

  /**
   * Removes an upstream version; removing the last version removes the service too.
   *
   * @param key the service and version
   */
  record RemoveVersion(VersionKey key) implements Change {}

  /**
   * Starts to move a service's traffic from its active version to another.
   *
   * @param service the service
   * @param to the version that is to take the traffic
   * @param startMillis when the move starts, milliseconds since the epoch
   * @param deadlineMillis when all traffic is due on the new version, milliseconds since the epoch
   */
  record StartMove(ServiceName service, VersionName to, long startMillis, long deadlineMillis)
      implements Change {}

  /**
   * Sets the traffic share of a move in progress; a share of 1000 completes the move.
   *
   * @param service the service
   * @param to the version that the traffic moves to
   * @param sharePermille the new share, 0 to 1000
   */
  record AdvanceMove(ServiceName service, VersionName to, int sharePermille) implements Change {}

  /**
   * Takes a version back: it receives no traffic, and a move from or to it is cancelled. When it is
   * the active version, the replacement becomes active.
   *
   * @param key the version to take back
   * @param replacement the next active version, or null when the one taken back is not active
   */
  record TakeBack(VersionKey key, VersionName replacement) implements Change {}

  /**
   * Takes a failure domain out of use.
   *
   * @param domain the failure domain
   * @param sinceMillis when the withdrawal starts, milliseconds since the epoch
   */
  record Withdraw(FailureDomain domain, long sinceMillis) implements Change {}

  /**
   * Returns a withdrawn failure domain to use gradually.
   *
   * @param domain the failure domain
   * @param startMillis when the ramp starts, milliseconds since the epoch
   * @param rampMillis the time until the domain is in full use
   */
  record Restore(FailureDomain domain, long startMillis, long rampMillis) implements Change {}

  /**
   * Ends a restore whose ramp is over.
   *
   * @param domain the failure domain
   */
  record FinishRestore(FailureDomain domain) implements Change {}
}
