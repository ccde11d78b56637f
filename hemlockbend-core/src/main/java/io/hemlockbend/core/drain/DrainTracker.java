package io.hemlockbend.core.drain;

/**
 * Tracks one drain: from its start no new work begins, and it is complete once the work in flight
 * has ended or a time bound has passed. Entries are informed of the drain by gossip, so the
 * listener must stay open for a while to refuse requests that they still send: the drain takes at
 * least the notice time.
 *
 * <p>Not thread-safe; callers hold one lock, as for admission.
 */
public final class DrainTracker {
  private final long noticeMillis;
  private final long boundMillis;
  private int inFlight;
  private boolean draining;
  private long startedMillis;
  private boolean done;

  /**
   * Creates a tracker in the serving state.
   *
   * @param noticeMillis how long entries may still send requests after the start of the drain
   * @param boundMillis the maximum duration of the drain
   */
  public DrainTracker(long noticeMillis, long boundMillis) {
    this.noticeMillis = noticeMillis;
    this.boundMillis = boundMillis;
  }

  /** Begins a request; returns false if the drain has started. */
  public boolean begin() {
    if (draining) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Ends a request whose answer is complete and has been forwarded. */
  public void end() {
    if (inFlight == 0) {
      throw new IllegalStateException("end() without a request in flight");
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

  /** Returns the progress of the drain; a completed drain stays complete. */
  public DrainState state(long nowMillis) {
    if (!draining) {
      return new DrainState.Serving();
    }
    boolean noticePassed = nowMillis - startedMillis >= noticeMillis;
    boolean boundPassed = nowMillis - startedMillis >= boundMillis;
    done |= boundPassed || noticePassed && inFlight == 0;
    return done
        ? new DrainState.Done(inFlight)
        : new DrainState.Draining(inFlight, startedMillis + boundMillis);
  }
}
