package io.hemlockbend.core.retry;

/** What the next try of a request must keep away from. */
public enum Exclusion {
  /** The upstream of the last try. */
  UPSTREAM,
  /** All upstreams of the last try's failure domain. */
  FAILURE_DOMAIN,
  /** All upstreams of the last try's version. */
  VERSION
}
