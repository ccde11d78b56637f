package io.hemlockbend.core.placement;

/**
 * Class of a request by its slack: the time that it can wait in the queue and still be answered
 * before its deadline. Classes are listed in the order in which they are served.
 */
public enum WaitingKind {
  /** The request must run at once, such as a nested call of a request that is running. */
  HURRIED,
  /** The request can wait and still be answered in time. */
  PATIENT,
  /** The request is already late. */
  LATE;

  /** The least slack of {@link #PATIENT}; a power of two, as queues order by powers of two. */
  public static final long PATIENT_FROM_MILLIS = 64;

  /** Returns the class of a request that is not late, by its slack. */
  public static WaitingKind inTime(double slackMillis) {
    return slackMillis < PATIENT_FROM_MILLIS ? HURRIED : PATIENT;
  }
}
