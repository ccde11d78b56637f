package io.hemlockbend.core.claim;

/** Where a key stands at this node. */
enum ClaimState {
  /** Waits for a batch. */
  WAITING,
  /** Is in a transaction whose answer is awaited. */
  WRITING,
  /** Is to be read back, since its transaction did not tell whose the claim is. */
  TO_READ,
  /** Is being read back. */
  READING,
  /** Is claimed by this process and was handed out to run. */
  RUNNING,
  /** Has run. */
  FINISHED,
  /** May have run, here or elsewhere. */
  UNSETTLED,
  /** Has never run here; runs only after a new claim. */
  ABANDONED;

  boolean pending() {
    return switch (this) {
      case WAITING, WRITING, TO_READ, READING -> true;
      case RUNNING, FINISHED, UNSETTLED, ABANDONED -> false;
    };
  }
}
