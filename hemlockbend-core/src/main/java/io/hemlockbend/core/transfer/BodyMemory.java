package io.hemlockbend.core.transfer;

/**
 * Limits the memory that a process uses for the bodies of its callers' requests, from their first
 * byte to their answer. Small bodies are not counted, since the number of connections limits them.
 * A body larger than the limit is accepted if no other one is held, as callers may send such
 * bodies.
 */
public final class BodyMemory {
  /** Bodies up to this size are not counted. */
  public static final int UNCOUNTED_BYTES = 64 * 1024;

  /** Bodies may use the heap divided by this. */
  private static final int HEAP_DIVISOR = 3;

  private final long limitBytes;
  private long heldBytes;

  /**
   * Creates a limit without bodies.
   *
   * @param limitBytes the limit for all bodies together
   */
  public BodyMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the limit for a process with some heap, in bytes. */
  public static BodyMemory ofHeap(long heapBytes) {
    return new BodyMemory(heapBytes / HEAP_DIVISOR);
  }

  /** Returns a limit that no body reaches. */
  public static BodyMemory unlimited() {
    return new BodyMemory(Long.MAX_VALUE);
  }

  /**
   * Reserves memory for a body that needs more than it holds.
   *
   * @param heldByBody the bytes that it holds so far
   * @param neededBytes the bytes that it needs
   * @return whether there is room; if so it holds {@link #counted} of these bytes
   */
  public boolean grow(long heldByBody, long neededBytes) {
    long others = heldBytes - heldByBody;
    long needed = Math.max(heldByBody, counted(neededBytes));
    if (others > 0 && needed > heldByBody && needed > limitBytes - others) {
      return false;
    }
    heldBytes = others + needed;
    return true;
  }

  /** Releases the bytes that a body holds. */
  public void release(long heldByBody) {
    heldBytes -= heldByBody;
  }

  /** Returns how many bytes of a body of some size count. */
  public static long counted(long bytes) {
    return bytes <= UNCOUNTED_BYTES ? 0 : bytes;
  }

  /** Returns the bytes of all counted bodies together. */
  public long heldBytes() {
    return heldBytes;
  }
}
