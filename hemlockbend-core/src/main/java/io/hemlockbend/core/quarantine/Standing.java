package io.hemlockbend.core.quarantine;

/** Degree of suspicion that a request crashes upstreams. */
public enum Standing {
  /** Runs without restriction. */
  CLEAR,
  /** Was in flight at a crash; runs only while no other request runs on the upstream. */
  SUSPECT,
  /** Is refused until its reports expire. */
  QUARANTINED
}
