package io.hemlockbend.core.validation;

/** The kinds of part that a check can ask to see. */
public enum PartKind {
  /** The configuration as a whole, shown once and first. */
  WHOLE,
  /** A service. */
  SERVICE,
  /** An upstream version. */
  VERSION,
  /** A route. */
  ROUTE,
  /** A move under way. */
  MOVE,
  /** A failure domain that is withdrawn or being restored. */
  DOMAIN
}
