package io.hemlockbend.core.api;

/** The status of a member, in ascending order of precedence among claims of equal incarnation. */
public enum MemberStatus {
  /** Answers probes. */
  ALIVE,
  /** Did not answer a probe and may still refute the suspicion. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD,
  /** Announced its own departure. */
  LEFT
}
