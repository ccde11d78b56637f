package io.hemlockbend.proxy.mesh;

/** What decided how a caller's request ended. */
public enum EntryOutcome {
  /** An upstream answered. */
  ANSWERED("answered"),
  /** It has not run: no upstream could take it. */
  REFUSED("refused"),
  /** An upstream failed it or broke it off, and it was not run again. */
  FAILED("failed"),
  /** There was no answer in the time that its caller or its route gives. */
  LATE("late"),
  /** Its caller left. */
  ABANDONED("abandoned");

  private final String word;

  EntryOutcome(String word) {
    this.word = word;
  }

  /** Returns the word for logs and metrics. */
  public String word() {
    return word;
  }
}
