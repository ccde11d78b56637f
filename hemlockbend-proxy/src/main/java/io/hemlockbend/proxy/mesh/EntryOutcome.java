package io.hemlockbend.proxy.mesh;

/** How a caller's request ended. */
public enum EntryOutcome {
  /** An upstream answered. */
  ANSWERED("answered"),
  /** The request has not run: no upstream could accept it. */
  REFUSED("refused"),
  /** An upstream failed or lost the request, and it was not retried. */
  FAILED("failed"),
  /** There was no answer before the deadline set by the caller or the route. */
  LATE("late"),
  /** The caller disconnected. */
  ABANDONED("abandoned");

  private final String label;

  EntryOutcome(String label) {
    this.label = label;
  }

  /** Returns the name used in logs and metrics. */
  public String label() {
    return label;
  }
}
