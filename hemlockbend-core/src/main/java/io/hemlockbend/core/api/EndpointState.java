package io.hemlockbend.core.api;

/** What an upstream says of itself. */
public enum EndpointState {
  /** Takes new work. */
  READY,
  /** Finishes its work and takes no new. */
  DRAINING,
  /** Does not answer its node. */
  DOWN
}
