package io.hemlockbend.testkit.load;

import java.net.URI;
import java.util.List;

/**
 * What load to make.
 *
 * @param entries the entry URIs; each call draws one
 * @param ratePerSecond how many calls are due per second, on average
 * @param durationMillis for how long calls are due
 * @param timeoutMillis the deadline sent with each call; the caller waits a little longer, so that
 *     it still hears what became of a call that missed it
 * @param photoBytes how long photos are
 * @param mix the sorts of calls
 * @param seed draws arrivals, sorts and entries
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
   * @throws IllegalArgumentException when there is nothing to send or nowhere to send it
   */
  public LoadPlan {
    entries = List.copyOf(entries);
    mix = List.copyOf(mix);
    if (entries.isEmpty() || mix.isEmpty() || ratePerSecond < 1 || timeoutMillis < 1) {
      throw new IllegalArgumentException("a plan needs entries, calls, a rate and a timeout");
    }
  }
}
