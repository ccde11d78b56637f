package io.hemlockbend.testkit.schedule;

/** The steps of a configuration's way and of a node's life at which faults are put. */
public enum Step {
  /** A new node asks to join. */
  JOIN,
  /** A node sends a commit to the table. */
  COMMIT,
  /** A node announces a configuration. */
  ANNOUNCE,
  /** A node pulls a configuration from a peer. */
  PULL,
  /** A node puts a configuration in force. */
  APPLY,
  /** A node leaves. */
  LEAVE
}
