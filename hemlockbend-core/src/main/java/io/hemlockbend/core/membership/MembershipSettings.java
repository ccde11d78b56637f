package io.hemlockbend.core.membership;

/**
 * Bounds of the membership protocol.
 *
 * @param pingIntervalMillis how often a node pings a peer
 * @param pingTimeoutMillis how long it waits for an answer, directly and then through others
 * @param indirectPeers how many peers it asks to ping one that did not answer
 * @param suspicionMillis how long a suspect may refute before it counts as dead
 * @param gossipIntervalMillis how often fresh news is sent on without waiting for a ping
 * @param gossipFanout to how many peers fresh news is sent at once
 * @param newsPerMessage how many claims one message carries at most
 * @param reconcileIntervalMillis how often a node compares its view with a peer's
 * @param goneRetentionMillis how long dead members are kept and tried again
 */
public record MembershipSettings(
    long pingIntervalMillis,
    long pingTimeoutMillis,
    int indirectPeers,
    long suspicionMillis,
    long gossipIntervalMillis,
    int gossipFanout,
    int newsPerMessage,
    long reconcileIntervalMillis,
    long goneRetentionMillis) {
  /** Claims of a joiner's first answer. */
  static final int JOIN_SAMPLE = 64;

  /** Claims of one answer to a comparison of views. */
  static final int RECONCILE_SAMPLE = 200;

  /** Brakes or crash reports in one message. */
  static final int REPORTS_PER_MESSAGE = 8;

  /** How often a dead member or a seed is tried again. */
  static final long RETRY_GONE_MILLIS = 2_000;

  /** A longer pause between two ticks means that the process was frozen. */
  static final long FREEZE_MILLIS = 3_000;

  /** The first wait before a join is sent again. */
  static final long JOIN_BACKOFF_MILLIS = 500;

  /** The longest wait before a join is sent again. */
  static final long JOIN_BACKOFF_MAX_MILLIS = 16_000;

  /** While the view still fills, comparisons come this often. */
  static final long CATCH_UP_INTERVAL_MILLIS = 250;

  /** A new node compares views this often while it is introduced. */
  static final long INTRODUCTION_INTERVAL_MILLIS = 1_000;

  /** For how long a new node adds its own claim to each message. */
  static final long INTRODUCTION_MILLIS = 30_000;

  /** The bounds for meshes of up to some thousand nodes. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 400, 3, 5_000, 200, 2, 4, 10_000, 7_200_000);
}
