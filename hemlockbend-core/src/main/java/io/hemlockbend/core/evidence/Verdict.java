package io.hemlockbend.core.evidence;

/** What a comparison of a version with its predecessor found. */
public sealed interface Verdict {
  /** Returns what was found, for the log. */
  String reason();

  /**
   * Enough calls and nothing against the version.
   *
   * @param reason how much was seen
   */
  record Good(String reason) implements Verdict {}

  /**
   * The version is worse than its predecessor.
   *
   * @param reason on which route and in what
   */
  record Bad(String reason) implements Verdict {}

  /**
   * Too little to tell.
   *
   * @param suspicious whether what there is speaks against the version
   * @param reason what is missing, or what speaks against it
   */
  record NotEnough(boolean suspicious, String reason) implements Verdict {}
}
