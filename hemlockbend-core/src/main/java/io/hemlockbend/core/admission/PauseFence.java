package io.hemlockbend.core.admission;

/**
 * Tells whether the process may have been paused, so that what it knows is old: its failure domain
 * may have been withdrawn meanwhile. The control thread vouches at each of its ticks; after a pause
 * it does so only once it has heard from its peers again. While the fence is closed the shell
 * refuses new work as {@link RefusalReason#NOT_READY}, and so it does with work admitted before the
 * pause of which no byte went out: it asks at admission and right before the first byte.
 *
 * <p>Driven under the lock of admission. Times are milliseconds since the epoch.
 */
public final class PauseFence {
  private final long boundMillis;
  private long vouchedMillis;

  /**
   * Makes an open fence.
   *
   * @param boundMillis how long a vouch lasts; several ticks of the control thread
   * @param nowMillis the time
   */
  public PauseFence(long boundMillis, long nowMillis) {
    this.boundMillis = boundMillis;
    this.vouchedMillis = nowMillis;
  }

  /** Returns whether the last vouch is too old. */
  public boolean closed(long nowMillis) {
    return nowMillis - vouchedMillis > boundMillis;
  }

  /** Vouches at a tick; does nothing once the fence is closed. */
  public void ticked(long nowMillis) {
    if (!closed(nowMillis)) {
      vouchedMillis = nowMillis;
    }
  }

  /** Opens the fence: peers have answered since the pause, and what they told is in force. */
  public void caughtUp(long nowMillis) {
    vouchedMillis = nowMillis;
  }
}
