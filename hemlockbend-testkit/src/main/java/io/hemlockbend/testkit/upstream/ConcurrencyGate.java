package io.hemlockbend.testkit.upstream;

import io.hemlockbend.core.api.Clock;

/** Counts the requests inside an upstream, and refuses those that a cold start doesn't bear. */
final class ConcurrencyGate {
  private final Clock clock;
  private final UpstreamSettings.ColdLimit cold;
  private long coldUntilMillis;
  private int inside;
  private int mostAtOnce;
  private long coldOverloads;

  ConcurrencyGate(Clock clock, UpstreamSettings.ColdLimit cold) {
    this.clock = clock;
    this.cold = cold;
    fallCold();
  }

  /** Begins a cold start. */
  synchronized void fallCold() {
    coldUntilMillis = clock.millis() + cold.millis();
  }

  /** Lets a request in, to be followed by {@link #leave}; or returns false when it must fail. */
  synchronized boolean enter() {
    boolean isCold = clock.millis() < coldUntilMillis;
    if (isCold && inside >= cold.concurrent()) {
      coldOverloads++;
      return false;
    }
    inside++;
    mostAtOnce = Math.max(mostAtOnce, inside);
    return true;
  }

  /** Ends a request that was let in. */
  synchronized void leave() {
    inside--;
  }

  /** Returns how many requests are inside. */
  synchronized int inside() {
    return inside;
  }

  /** Returns the most requests that were inside at once. */
  synchronized int mostAtOnce() {
    return mostAtOnce;
  }

  /** Returns how many requests were beyond the cold limit. */
  synchronized long coldOverloads() {
    return coldOverloads;
  }
}
