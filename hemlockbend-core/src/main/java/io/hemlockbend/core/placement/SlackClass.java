package io.hemlockbend.core.placement;

/**
 * Class of a request by its slack: the time that it can wait in the queue and still be answered
 * before its deadline. Classes are listed in the order in which they are served.
 */
public enum SlackClass {
  /** The request must run at once, such as a nested call of a request that is running. */
  TIGHT,
  /** The request can wait and still be answered in time. */
  AMPLE,
  /** The request is already late. */
  LATE;

  /** The least slack of {@link #AMPLE}; a power of two, as queues order by powers of two. */
  public static final long MIN_AMPLE_MILLIS = 64;

  /** Returns the class of a request that is not late, by its slack. */
  public static SlackClass ofSlack(double slackMillis) {
    return slackMillis < MIN_AMPLE_MILLIS ? TIGHT : AMPLE;
  }
}
