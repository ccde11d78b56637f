package io.hemlockbend.core.rollout;

/** What a move waits for. */
public enum WaitCause {
  /** The time of the next step has not come. */
  NOT_DUE,
  /** The present step is not in force for long enough. */
  SETTLING,
  /** Too few calls to judge the version. */
  EVIDENCE,
  /** Something speaks against the version, too little to take it back. */
  SUSPICION,
  /** The version has too few ready upstreams for the next step. */
  CAPACITY,
  /** A brake binds the active version and no predecessor is known; an operator has to choose. */
  REPLACEMENT
}
