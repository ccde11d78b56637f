package io.hemlockbend.testkit.schedule;

/** Steps of configuration distribution and of a node's life cycle at which faults are injected. */
public enum Step {
  /** A starting node sends its join request. */
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
