package io.hemlockbend.core.placement;

/** How a version takes part in the traffic of its service. */
public enum VersionGroup {
  /** Gets the regular traffic. */
  CURRENT,
  /** Gets the share that the move in progress assigns to it. */
  FRESH,
  /** Gets no traffic. */
  BLOCKED
}
