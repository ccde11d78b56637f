package io.hemlockbend.core.retry;

/** What is excluded from the next attempt of a request. */
public enum Exclusion {
  /** The upstream of the last attempt. */
  UPSTREAM,
  /** All upstreams of the last attempt's failure domain. */
  FAILURE_DOMAIN,
  /** All upstreams of the last attempt's version. */
  VERSION
}
