package io.hemlockbend.core.placement;

/** What an upstream's version may get of its service's traffic. */
public enum VersionGroup {
  /** Its share as usual. */
  CURRENT,
  /** The share that a move under way gives it. */
  FRESH,
  /** Nothing. */
  BLOCKED
}
