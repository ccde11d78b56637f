package io.hemlockbend.core.admission;

/**
 * Bounds of admission beside one upstream.
 *
 * @param slots how many requests the upstream runs at once when warm
 * @param coldSlots how many it runs at once in its cold start
 * @param queueLength how many requests wait at most
 * @param stepMillis the least time between two raises of the limit
 * @param lingerMillis how long the slot of a request that was given up stays taken, so that the
 *     upstream can notice the cancellation
 */
public record AdmissionSettings(
    int slots, int coldSlots, int queueLength, long stepMillis, long lingerMillis) {
  /** The usual time between two raises of the limit. */
  public static final long DEFAULT_STEP_MILLIS = 500;

  /** The usual time for an upstream to notice a cancellation. */
  public static final long DEFAULT_LINGER_MILLIS = 250;

  /**
   * Validates the bounds.
   *
   * @throws IllegalArgumentException when there is no slot, or the cold slots are not among them
   */
  public AdmissionSettings {
    if (slots < 1 || coldSlots < 1 || coldSlots > slots || queueLength < 0) {
      throw new IllegalArgumentException(
          "need 1 <= cold slots <= slots and a queue, got " + coldSlots + ", " + slots);
    }
  }

  /** Returns the usual bounds for an upstream with this many slots: as many wait as run. */
  public static AdmissionSettings of(int slots) {
    return new AdmissionSettings(slots, 1, slots, DEFAULT_STEP_MILLIS, DEFAULT_LINGER_MILLIS);
  }
}
