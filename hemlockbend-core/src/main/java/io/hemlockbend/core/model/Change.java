package io.hemlockbend.core.model;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;

/** One change of a configuration; operators stage them, the rollout controller makes the rest. */
public sealed interface Change {

  /**
   * Adds a route or replaces the one of that name.
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
   * service makes the service and becomes its active version.
   *
   * @param key the service and version
   * @param owner the team that owns the service; counts only when this makes the service
   */
  record AddVersion(VersionKey key, TeamName owner) implements Change {}

  /**
   * Removes an upstream version; the service goes with its last version.
   *
   * @param key the service and version
   */
  record RemoveVersion(VersionKey key) implements Change {}

  /**
   * Starts to move a service's traffic from its active version.
   *
   * @param service the service
   * @param to the version that is to take the traffic
   * @param startMillis when it starts, milliseconds since the epoch
   * @param deadlineMillis when it is due, milliseconds since the epoch
   */
  record StartMove(ServiceName service, VersionName to, long startMillis, long deadlineMillis)
      implements Change {}

  /**
   * Sets the share of a move under way; the whole share finishes it.
   *
   * @param service the service
   * @param to the version that the move goes to
   * @param sharePermille the new share, 0 to 1000
   */
  record AdvanceMove(ServiceName service, VersionName to, int sharePermille) implements Change {}

  /**
   * Takes a version back: it gets no traffic, and a move to it ends. When it is the active version,
   * the version named takes its place.
   *
   * @param key the version that is bad
   * @param replacement the version that takes the traffic, or null when the bad one is not active
   */
  record TakeBack(VersionKey key, VersionName replacement) implements Change {}

  /**
   * Takes a failure domain out.
   *
   * @param domain the failure domain
   * @param sinceMillis when, milliseconds since the epoch
   */
  record Withdraw(FailureDomain domain, long sinceMillis) implements Change {}

  /**
   * Brings a failure domain back by degrees.
   *
   * @param domain the failure domain
   * @param startMillis when, milliseconds since the epoch
   * @param rampMillis how long until full use
   */
  record Restore(FailureDomain domain, long startMillis, long rampMillis) implements Change {}

  /**
   * Ends a restore whose ramp has passed.
   *
   * @param domain the failure domain
   */
  record FinishRestore(FailureDomain domain) implements Change {}
}
