package io.hemlockbend.core.admission;

/**
 * Fences off admission after a pause of the process, since its state may be stale: its failure
 * domain may have been withdrawn in the meantime. The control thread renews a lease at each of its
 * ticks; once the lease has expired, it renews it only after peers have answered again. The fence
 * is checked at admission and right before the first byte is sent: while it is closed, new requests
 * and admitted ones that have not been sent are refused as {@link RefusalReason#NOT_READY}.
 *
 * <p>Not thread-safe; guarded by the lock of admission. Times are milliseconds since the epoch.
 */
public final class PauseFence {
  private final long leaseMillis;
  private long renewedMillis;

  /**
   * Creates an open fence.
   *
   * @param leaseMillis duration of the lease; several ticks of the control thread
   * @param nowMillis the time
   */
  public PauseFence(long leaseMillis, long nowMillis) {
    this.leaseMillis = leaseMillis;
    this.renewedMillis = nowMillis;
  }

  /** Returns whether the lease has expired. */
  public boolean closed(long nowMillis) {
    return nowMillis - renewedMillis > leaseMillis;
  }

  /** Renews the lease at a tick; does nothing once the fence is closed. */
  public void renew(long nowMillis) {
    if (!closed(nowMillis)) {
      renewedMillis = nowMillis;
    }
  }

  /** Reopens the fence after peers have answered and their updates are in force. */
  public void reopen(long nowMillis) {
    renewedMillis = nowMillis;
  }
}
