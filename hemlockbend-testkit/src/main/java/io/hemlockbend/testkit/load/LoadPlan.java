package io.hemlockbend.testkit.load;

import java.net.URI;
import java.util.List;

/**
 * The load to generate.
 *
 * @param entries the entry URIs; each call goes to a random one
 * @param ratePerSecond the mean number of calls per second
 * @param durationMillis the time span in which calls are due
 * @param timeoutMillis the deadline sent with each call; the caller waits a little longer, so that
 *     it still receives the outcome of a call that missed its deadline
 * @param photoBytes the length of the photos
 * @param mix the weighted templates of calls
 * @param seed seeds the random choice of arrivals, templates and entries
 */
public record LoadPlan(
    List<URI> entries,
    int ratePerSecond,
    long durationMillis,
    long timeoutMillis,
    int photoBytes,
    List<CallTemplate> mix,
    long seed) {
  /**
   * Copies the lists and validates.
   *
   * @throws IllegalArgumentException when entries or mix are empty, or rate or timeout is less than
   *     1
   */
  public LoadPlan {
    entries = List.copyOf(entries);
    mix = List.copyOf(mix);
    if (entries.isEmpty() || mix.isEmpty() || ratePerSecond < 1 || timeoutMillis < 1) {
      throw new IllegalArgumentException(
          "a plan needs entries, calls, and a rate and timeout of at least 1; got "
              + entries
              + ", "
              + mix
              + ", rate "
              + ratePerSecond
              + ", timeoutMillis "
              + timeoutMillis);
    }
  }
}
