package io.hemlockbend.core.api;

/** How urgent a request is; admission takes urgent ones first and sheds the least urgent first. */
public enum Priority {
  /** Safety checks and the like: first in, last to be shed. */
  URGENT,
  /** Ordinary requests. */
  NORMAL,
  /** Requests that may wait: the first to be shed. */
  BULK
}
