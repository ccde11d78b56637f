package io.hemlockbend.core.model;

/** The state of a failure domain that is withdrawn or being restored; others are in full use. */
public sealed interface DomainState {

  /**
   * The domain takes no new requests.
   *
   * @param sinceMillis when the withdrawal was committed, milliseconds since the epoch
   */
  record Withdrawn(long sinceMillis) implements DomainState {}

  /**
   * The domain takes a growing share of its requests.
   *
   * @param startMillis when the restore was committed, milliseconds since the epoch
   * @param rampMillis the time until the domain is in full use
   */
  record Restoring(long startMillis, long rampMillis) implements DomainState {}
}
