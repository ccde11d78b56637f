package io.hemlockbend.core.acceptance;

import java.util.random.RandomGenerator;

/**
 * Bounds the failures of a settlement and spaces its tries: the delay doubles from {@link
 * #FIRST_DELAY_MILLIS} with each failure, and half of it is random.
 */
public final class SettlementBudget {
  /** How many failures a settlement bears by default. */
  public static final int DEFAULT_FAILURES = 6;

  /** The longest first delay. */
  public static final long FIRST_DELAY_MILLIS = 50;

  private final int maxFailures;
  private final RandomGenerator random;
  private int failures;

  /**
   * Makes a budget.
   *
   * @param maxFailures how many failures it bears
   * @param random spreads the delays
   */
  public SettlementBudget(int maxFailures, RandomGenerator random) {
    this.maxFailures = maxFailures;
    this.random = random;
  }

  /** Counts a failure and returns whether another try is allowed. */
  public boolean spend() {
    failures++;
    return failures <= maxFailures;
  }

  /** Returns how long to wait after the last failure, in milliseconds. */
  public long delayMillis() {
    long fullMillis = FIRST_DELAY_MILLIS << Math.min(failures - 1, 10);
    return fullMillis / 2 + random.nextLong(fullMillis / 2 + 1);
  }
}
