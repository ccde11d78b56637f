package io.hemlockbend.core.validation;

/** The kinds of part that a check can visit. */
public enum PartKind {
  /** The whole configuration, visited once, before all other parts. */
  WHOLE,
  /** A service. */
  SERVICE,
  /** An upstream version. */
  VERSION,
  /** A route. */
  ROUTE,
  /** A move in progress. */
  MOVE,
  /** A failure domain that is withdrawn or being restored. */
  DOMAIN
}
