package io.hemlockbend.core.model;

/** A failure domain that is withdrawn or on its way back; a domain without state is in full use. */
public sealed interface DomainState {

  /**
   * Takes no new work.
   *
   * @param sinceMillis when the withdrawal was committed, milliseconds since the epoch
   */
  record Withdrawn(long sinceMillis) implements DomainState {}

  /**
   * Takes a growing part of its work.
   *
   * @param startMillis when the restore was committed, milliseconds since the epoch
   * @param rampMillis how long it takes until the domain is in full use
   */
  record Restoring(long startMillis, long rampMillis) implements DomainState {}
}
