package io.hemlockbend.core.api;

/** The state of an upstream, as its node announces it. */
public enum EndpointState {
  /** Takes new requests. */
  READY,
  /** Finishes its running requests and takes no new ones. */
  DRAINING,
  /** Does not respond to its node. */
  DOWN
}
