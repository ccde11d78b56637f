package io.hemlockbend.node.admin;

/** The permissions of a token. */
public enum Role {
  /** May run read-only commands. */
  READER,
  /** May run all commands. */
  OPERATOR
}
