package io.hemlockbend.core.drain;

/**
 * Follows one drain: from its start no work begins, and it is done once the work in flight has
 * ended, or a bound has passed. Entries learn of the drain through gossip, so that the listener
 * must stay open for a while to refuse what they still send: the drain takes at least the notice
 * time.
 *
 * <p>Driven under one lock, like admission.
 */
public final class DrainTracker {
  private final long noticeMillis;
  private final long boundMillis;
  private int inFlight;
  private boolean draining;
  private long startedMillis;
  private boolean done;

  /**
   * Makes a tracker that serves.
   *
   * @param noticeMillis how long entries may still send work after the drain began
   * @param boundMillis how long the drain takes at most
   */
  public DrainTracker(long noticeMillis, long boundMillis) {
    this.noticeMillis = noticeMillis;
    this.boundMillis = boundMillis;
  }

  /** Begins a piece of work, unless the drain has begun. */
  public boolean begin() {
    if (draining) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Ends a piece of work that was begun: its answer is whole and handed on. */
  public void end() {
    if (inFlight == 0) {
      throw new IllegalStateException("no work is in flight");
    }
    inFlight--;
  }

  /** Starts the drain; a second start changes nothing. */
  public void drain(long nowMillis) {
    if (!draining) {
      draining = true;
      startedMillis = nowMillis;
    }
  }

  /** Returns how far the drain is; once done it stays so. */
  public DrainState state(long nowMillis) {
    if (!draining) {
      return new DrainState.Serving();
    }
    boolean noticed = nowMillis - startedMillis >= noticeMillis;
    boolean passed = nowMillis - startedMillis >= boundMillis;
    done |= passed || noticed && inFlight == 0;
    return done
        ? new DrainState.Done(inFlight)
        : new DrainState.Draining(inFlight, startedMillis + boundMillis);
  }
}
