package io.hemlockbend.core.distribution;

import java.util.random.RandomGenerator;

/**
 * Decides when this node reads the table. The read rate of the whole mesh stays bounded: a node
 * that has just become a reader reads rarely until views have had time to converge, and a reader
 * that sees only a part of its failure domain reads proportionally less often, up to a maximum
 * interval, since the domain may be partitioned and have other readers.
 */
final class ReadSchedule {
  private static final long NON_READER_INTERVAL_MILLIS = 120_000;
  private static final long NEW_READER_INTERVAL_MILLIS = 4_000;
  private static final long NEW_READER_MILLIS = 8_000;
  private static final long PARTITIONED_INTERVAL_MAX_MILLIS = 5_000;
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
  private static final long READER_BACKOFF_MILLIS = 500;
  private static final long READER_BACKOFF_MAX_MILLIS = 1_500;
  private static final long BACKOFF_MILLIS = 4_000;
  private static final long BACKOFF_MAX_MILLIS = 8_000;

  private final DistributionSettings settings;
  private final RandomGenerator random;
  private ReaderElection election = new ReaderElection(false, 1, 1);
  private long readerSinceMillis = Long.MAX_VALUE;
  private long nextMillis = Long.MIN_VALUE;
  private long sentMillis;
  private int failures;
  private boolean outstanding;
  private boolean started;

  ReadSchedule(DistributionSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Updates the result of the election under the current view. */
  void elected(ReaderElection result, long nowMillis) {
    boolean becomesReader = result.reader() && !election.reader();
    election = result;
    if (becomesReader) {
      readerSinceMillis = nowMillis;
    }
    if (becomesReader && started) {
      long delayMillis = 1 + random.nextLong(intervalMillis(nowMillis));
      nextMillis = Math.min(nextMillis, nowMillis + delayMillis);
    }
  }

  /**
   * Returns whether the answer to the last read has timed out, once for each read. The next read
   * does not wait for it; a late answer still counts.
   */
  boolean overdue(long nowMillis) {
    if (!outstanding || nowMillis - sentMillis < ANSWER_TIMEOUT_MILLIS) {
      return false;
    }
    failed(nowMillis);
    return true;
  }

  /** Returns whether to read now, and if so marks a read as outstanding. */
  boolean due(long nowMillis) {
    if (!started) {
      started = true;
      nextMillis = nowMillis + random.nextLong(settings.startSpreadMillis());
    }
    if (outstanding || nowMillis < nextMillis) {
      return false;
    }
    outstanding = true;
    sentMillis = nowMillis;
    return true;
  }

  void answered(long nowMillis) {
    outstanding = false;
    failures = 0;
    nextMillis = nowMillis + jittered(intervalMillis(nowMillis));
  }

  void failed(long nowMillis) {
    outstanding = false;
    nextMillis = nowMillis + jittered(backoffMillis(nowMillis));
    failures++;
  }

  private long backoffMillis(long nowMillis) {
    if (!settledReader(nowMillis)) {
      return failures == 0 ? BACKOFF_MILLIS : BACKOFF_MAX_MILLIS;
    }
    long doubledMillis = READER_BACKOFF_MILLIS << Math.min(failures, 2);
    long boundedMillis = Math.min(doubledMillis, READER_BACKOFF_MAX_MILLIS);
    return Math.max(boundedMillis, intervalMillis(nowMillis));
  }

  private boolean settledReader(long nowMillis) {
    return election.reader() && nowMillis - readerSinceMillis >= NEW_READER_MILLIS;
  }

  private long intervalMillis(long nowMillis) {
    if (!election.reader()) {
      return NON_READER_INTERVAL_MILLIS;
    }
    if (!settledReader(nowMillis)) {
      return NEW_READER_INTERVAL_MILLIS;
    }
    long scaledMillis = settings.readIntervalMillis() * election.known() / election.live();
    return Math.min(scaledMillis, PARTITIONED_INTERVAL_MAX_MILLIS);
  }

  private long jittered(long intervalMillis) {
    return intervalMillis * 3 / 4 + random.nextLong(intervalMillis / 2 + 1);
  }
}
