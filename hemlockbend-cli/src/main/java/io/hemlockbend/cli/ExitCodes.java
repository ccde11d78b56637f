package io.hemlockbend.cli;

/** The exit codes of the command. */
public final class ExitCodes {
  /** Done. */
  public static final int OK = 0;

  /** Not done: refused, forbidden or in conflict. */
  public static final int REFUSED = 1;

  /** The flags or settings are not valid; nothing was sent. */
  public static final int USAGE = 2;

  /** Outcome unknown: it may have been done, or may still be. */
  public static final int UNKNOWN = 3;

  /** No node answered, or the platform is away; nothing was done. */
  public static final int UNREACHABLE = 4;

  /** Accepted, but not seen in force everywhere in time. */
  public static final int NOT_EVERYWHERE = 5;

  private ExitCodes() {}
}
