package io.hemlockbend.core.placement;

/** How a request waits for its upstream, the kinds that go first before the others. */
public enum WaitingKind {
  /** It must run at once to be answered in time, as the calls that running requests make. */
  HURRIED,
  /** It can wait and still be answered in time. */
  PATIENT,
  /** It is late already. */
  LATE;

  /** How long a request can wait that is not hurried; a power of two, as in the queues' order. */
  public static final long PATIENT_FROM_MILLIS = 64;

  /** Returns the kind of a request that can wait for some time and be answered in time. */
  public static WaitingKind inTime(double patienceMillis) {
    return patienceMillis < PATIENT_FROM_MILLIS ? HURRIED : PATIENT;
  }
}
