package io.hemlockbend.core.admission;

/**
 * Bounds of admission for one upstream.
 *
 * @param slots concurrent requests of the upstream when warm
 * @param coldSlots concurrent requests during its cold start
 * @param queueLength capacity of the queue
 * @param stepMillis the least time between two increases of the concurrency limit
 * @param lingerMillis how long the slot of an abandoned request stays taken, so that the upstream
 *     can notice the cancellation
 */
public record AdmissionSettings(
    int slots, int coldSlots, int queueLength, long stepMillis, long lingerMillis) {
  /** Default time between two increases of the concurrency limit. */
  public static final long DEFAULT_STEP_MILLIS = 500;

  /** Default time for an upstream to notice a cancellation. */
  public static final long DEFAULT_LINGER_MILLIS = 250;

  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException unless {@code 1 <= coldSlots <= slots} and {@code queueLength
   *     >= 0}
   */
  public AdmissionSettings {
    if (slots < 1 || coldSlots < 1 || coldSlots > slots || queueLength < 0) {
      throw new IllegalArgumentException(
          "need 1 <= cold slots <= slots and queue length >= 0, got "
              + coldSlots
              + ", "
              + slots
              + ", "
              + queueLength);
    }
  }

  /** Returns the default bounds for an upstream; the queue holds as many requests as run. */
  public static AdmissionSettings of(int slots) {
    return new AdmissionSettings(slots, 1, slots, DEFAULT_STEP_MILLIS, DEFAULT_LINGER_MILLIS);
  }
}
