package io.hemlockbend.core.acceptance;

import java.util.random.RandomGenerator;

/**
 * Limits the retries of a commit and computes their exponential back-off: the delay doubles from
 * {@link #FIRST_DELAY_MILLIS} with each failure, and half of it is random jitter.
 */
public final class CommitRetryPolicy {
  /** The default number of failures after which retries are still allowed. */
  public static final int DEFAULT_MAX_FAILURES = 6;

  /** The upper bound of the first delay. */
  public static final long FIRST_DELAY_MILLIS = 50;

  private final int maxFailures;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a retry policy for one commit.
   *
   * @param maxFailures the number of failures after which retries are still allowed
   * @param random draws the jitter
   */
  public CommitRetryPolicy(int maxFailures, RandomGenerator random) {
    this.maxFailures = maxFailures;
    this.random = random;
  }

  /** Counts a failure and returns whether a retry is allowed. */
  public boolean recordFailure() {
    failures++;
    return failures <= maxFailures;
  }

  /** Returns the delay before the next retry; at least one failure must have been counted. */
  public long delayMillis() {
    long fullMillis = FIRST_DELAY_MILLIS << Math.min(failures - 1, 10);
    return fullMillis / 2 + random.nextLong(fullMillis / 2 + 1);
  }
}
