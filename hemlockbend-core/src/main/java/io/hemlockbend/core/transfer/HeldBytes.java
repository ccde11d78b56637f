package io.hemlockbend.core.transfer;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the bytes that a process holds of messages which are not whole yet. When they exceed the
 * bound, the holder of most gives way: a message without end, and not one of the usual size that
 * happens to come in while it is there.
 *
 * @param <H> what holds bytes
 */
public final class HeldBytes<H> {
  private final long boundBytes;
  private final Map<H, Long> held = new HashMap<>();
  private long totalBytes;
  private long mostBytes;

  /**
   * Makes a bound that nobody holds bytes of.
   *
   * @param boundBytes how many bytes all holders may have together
   */
  public HeldBytes(long boundBytes) {
    this.boundBytes = boundBytes;
  }

  /**
   * Takes in that a holder takes more bytes.
   *
   * @return the holder that must let go of its bytes before these are taken, or null; it may be the
   *     same one. Ask {@link #over} again until it returns null
   */
  public H add(H holder, int bytes) {
    held.merge(holder, (long) bytes, Long::sum);
    totalBytes += bytes;
    H over = over();
    if (over == null) {
      mostBytes = Math.max(mostBytes, totalBytes);
    }
    return over;
  }

  /** Returns the holder of most while all together exceed the bound, else null. */
  public H over() {
    if (totalBytes <= boundBytes) {
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

  /** Takes in that a holder let go of all its bytes. */
  public void release(H holder) {
    Long bytes = held.remove(holder);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  /** Returns how many bytes all holders have together. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the most bytes that all holders had together so far. */
  public long mostBytes() {
    return mostBytes;
  }

  /** Returns how many bytes all holders may have together. */
  public long boundBytes() {
    return boundBytes;
  }
}
