package io.hemlockbend.core.transfer;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory that a process uses for incomplete messages. If the total exceeds the limit,
 * the largest holder is evicted: an endless message rather than one of the usual size that arrives
 * in the meantime.
 *
 * @param <H> the type of the holders, such as connections
 */
public final class PartialMessageBudget<H> {
  private final long limitBytes;
  private final Map<H, Long> held = new HashMap<>();
  private long totalBytes;
  private long peakBytes;

  /**
   * Creates a budget without holders.
   *
   * @param limitBytes the limit for all holders together
   */
  public PartialMessageBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Adds bytes to a holder.
   *
   * @return the holder that must release its bytes before these are stored, possibly the same one,
   *     or null. Call {@link #largestIfOverLimit} after the release until it returns null
   */
  public H add(H holder, int bytes) {
    held.merge(holder, (long) bytes, Long::sum);
    totalBytes += bytes;
    H over = largestIfOverLimit();
    if (over == null) {
      peakBytes = Math.max(peakBytes, totalBytes);
    }
    return over;
  }

  /** Returns the largest holder if the total exceeds the limit, else null. */
  public H largestIfOverLimit() {
    if (totalBytes <= limitBytes) {
      return null;
    }
    H largest = null;
    long most = 0;
    for (Map.Entry<H, Long> entry : held.entrySet()) {
      if (entry.getValue() > most) {
        largest = entry.getKey();
        most = entry.getValue();
      }
    }
    return largest;
  }

  /** Removes a holder with all its bytes; does nothing if it holds none. */
  public void release(H holder) {
    Long bytes = held.remove(holder);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  /** Returns the bytes of all holders together. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the highest total so far that was within the limit. */
  public long peakBytes() {
    return peakBytes;
  }

  /** Returns the limit for all holders together. */
  public long limitBytes() {
    return limitBytes;
  }
}
