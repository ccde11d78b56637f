package io.hemlockbend.core.quarantine;

/** How far a request is suspected of crashing upstreams. */
public enum Standing {
  /** Runs as usual. */
  CLEAR,
  /** Was in flight at a crash; runs only while nothing else runs on the upstream. */
  SUSPECT,
  /** Is refused until its reports expire. */
  QUARANTINED
}
