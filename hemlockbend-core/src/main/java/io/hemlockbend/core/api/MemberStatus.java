package io.hemlockbend.core.api;

/** What the mesh believes of a member, in the order in which claims win at equal incarnation. */
public enum MemberStatus {
  /** Answers its peers. */
  ALIVE,
  /** Did not answer and may still refute. */
  SUSPECT,
  /** Did not answer nor refute in time. */
  DEAD,
  /** Said itself that it leaves. */
  LEFT
}
