package io.hemlockbend.testkit.upstream;

import io.hemlockbend.core.api.Clock;

/** Counts the requests in flight at an upstream, and limits them during a cold start. */
final class ConcurrencyGate {
  private final Clock clock;
  private final UpstreamSettings.ColdLimit cold;
  private long coldUntilMillis;
  private int inFlight;
  private int maxInFlight;
  private long coldOverloads;

  ConcurrencyGate(Clock clock, UpstreamSettings.ColdLimit cold) {
    this.clock = clock;
    this.cold = cold;
    startCold();
  }

  /** Begins a cold start. */
  synchronized void startCold() {
    coldUntilMillis = clock.millis() + cold.millis();
  }

  /**
   * Admits a request unless a cold start is at its limit. An admitted request must be followed by
   * {@link #exit}.
   *
   * @return false when the request must fail
   */
  synchronized boolean enter() {
    boolean isCold = clock.millis() < coldUntilMillis;
    if (isCold && inFlight >= cold.concurrent()) {
      coldOverloads++;
      return false;
    }
    inFlight++;
    maxInFlight = Math.max(maxInFlight, inFlight);
    return true;
  }

  /** Ends a request that was admitted. */
  synchronized void exit() {
    inFlight--;
  }

  /** Returns the number of requests in flight. */
  synchronized int inFlight() {
    return inFlight;
  }

  /** Returns the maximum number of requests in flight so far. */
  synchronized int maxInFlight() {
    return maxInFlight;
  }

  /** Returns the number of requests refused because of the cold start limit. */
  synchronized long coldOverloads() {
    return coldOverloads;
  }
}
