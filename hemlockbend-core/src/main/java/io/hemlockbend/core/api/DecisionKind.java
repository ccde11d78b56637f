package io.hemlockbend.core.api;

/** The kinds of decision that a node logs. */
public enum DecisionKind {
  /** An entry chose an upstream, or refused. */
  ROUTE,
  /** The node beside the upstream let a request in, or refused. */
  ADMIT,
  /** A try ended and another was made, or not. */
  RETRY,
  /** The rollout controller changed a share or took a version back. */
  PLACE,
  /** A configuration was applied or refused. */
  APPLY
}
