package io.hemlockbend.core.api;

/** The kinds of decision that a node logs. */
public enum DecisionKind {
  /** An entry chose an upstream for a request, or refused the request. */
  ROUTE,
  /** The node beside the upstream admitted or refused a request. */
  ADMIT,
  /** An attempt ended, and the request was retried or not. */
  RETRY,
  /** The rollout controller changed a share or took a version back. */
  PLACE,
  /** A configuration was applied or refused. */
  APPLY
}
