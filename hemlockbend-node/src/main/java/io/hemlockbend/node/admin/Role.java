package io.hemlockbend.node.admin;

/** What a token allows. */
public enum Role {
  /** Asks only. */
  READER,
  /** Asks and changes. */
  OPERATOR
}
