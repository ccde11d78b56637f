package io.hemlockbend.core.claim;

/** The state of a key at this process. */
enum ClaimState {
  /** Waiting for a batch. */
  WAITING,
  /** In a batch that awaits its response. */
  WRITING,
  /** To be read back, since the outcome of the batch does not show who holds the claim. */
  TO_READ,
  /** Being read back. */
  READING,
  /** Claimed by this process and released to run. */
  RUNNING,
  /** Has run. */
  FINISHED,
  /** May have run, in this process or another. */
  UNSETTLED,
  /** Has not run here; runs only after a new claim. */
  ABANDONED;

  boolean pending() {
    return switch (this) {
      case WAITING, WRITING, TO_READ, READING -> true;
      case RUNNING, FINISHED, UNSETTLED, ABANDONED -> false;
    };
  }
}
