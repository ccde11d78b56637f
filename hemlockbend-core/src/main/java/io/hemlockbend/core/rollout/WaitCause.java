package io.hemlockbend.core.rollout;

/** Why a move waits. */
public enum WaitCause {
  /** The next step is not due yet. */
  NOT_DUE,
  /** The current step has not been in force for long enough. */
  SETTLING,
  /** Too few calls to judge the version. */
  EVIDENCE,
  /** The evidence points to a bad version, but is too weak to take it back. */
  SUSPICION,
  /** The version has too few ready upstreams for the next step. */
  CAPACITY,
  /** The active version is braked and no predecessor is known; an operator has to choose one. */
  REPLACEMENT
}
