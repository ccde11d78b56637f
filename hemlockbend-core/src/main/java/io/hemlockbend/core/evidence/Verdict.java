package io.hemlockbend.core.evidence;

/** Result of comparing a version with its predecessor. */
public sealed interface Verdict {
  /** Returns the finding, for the log. */
  String reason();

  /**
   * Enough calls were observed and there is no sufficient evidence against the version.
   *
   * @param reason how many calls were observed
   */
  record Good(String reason) implements Verdict {}

  /**
   * The version is worse than its predecessor.
   *
   * @param reason the route and the symptom
   */
  record Bad(String reason) implements Verdict {}

  /**
   * Too little evidence for a decision.
   *
   * @param suspicious whether the evidence so far points to a bad version
   * @param reason the missing evidence, or the symptom when suspicious
   */
  record NotEnough(boolean suspicious, String reason) implements Verdict {}
}
