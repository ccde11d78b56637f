package io.hemlockbend.core.membership;

/**
 * Bounds of the membership protocol.
 *
 * @param pingIntervalMillis how often a node pings a peer
 * @param pingTimeoutMillis how long it waits for an ack, first of the direct, then of the indirect
 *     ping
 * @param indirectPeers how many peers it asks to ping one that did not answer
 * @param suspicionMillis how long a suspect may refute before it counts as dead
 * @param gossipIntervalMillis how often pending updates are sent outside the regular pings
 * @param gossipFanout how many peers pending updates are sent to at each interval
 * @param claimsPerMessage the maximum number of claims taken from the gossip queue for one message
 * @param reconcileIntervalMillis how often a node runs anti-entropy with a random peer
 * @param goneRetentionMillis how long dead and left members are retained; dead ones are retried
 *     meanwhile
 */
public record MembershipSettings(
    long pingIntervalMillis,
    long pingTimeoutMillis,
    int indirectPeers,
    long suspicionMillis,
    long gossipIntervalMillis,
    int gossipFanout,
    int claimsPerMessage,
    long reconcileIntervalMillis,
    long goneRetentionMillis) {
  /** The number of live members sampled for the answer to a join. */
  static final int JOIN_SAMPLE = 64;

  /** The number of claims after which an anti-entropy answer takes no further bucket. */
  static final int RECONCILE_SAMPLE = 200;

  /** The maximum number of brakes, and of crash reports, in one message. */
  static final int REPORTS_PER_MESSAGE = 8;

  /** How often a dead member and a seed that is not live are contacted again. */
  static final long RETRY_UNREACHABLE_INTERVAL_MILLIS = 2_000;

  /** A pause between two ticks that is longer than this means that the process was frozen. */
  static final long FREEZE_MILLIS = 3_000;

  /** The initial back-off before a join is sent again. */
  static final long JOIN_BACKOFF_MILLIS = 500;

  /** The maximum back-off before a join is sent again. */
  static final long JOIN_BACKOFF_MAX_MILLIS = 16_000;

  /** The anti-entropy interval while the view is still incomplete. */
  static final long CATCH_UP_INTERVAL_MILLIS = 250;

  /** The anti-entropy interval of a new node during {@link #INTRODUCTION_MILLIS}. */
  static final long INTRODUCTION_INTERVAL_MILLIS = 1_000;

  /** How long a node that joins adds its own claim to each message. */
  static final long INTRODUCTION_MILLIS = 30_000;

  /** The defaults for meshes of up to a few thousand nodes. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 400, 3, 5_000, 200, 2, 4, 10_000, 7_200_000);
}
