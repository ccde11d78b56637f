package io.hemlockbend.core.model;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;

/**
 * A gradual shift of a service's traffic from the active version to another, to be completed by a
 * deadline. It is cancelled when one of its versions is taken back.
 *
 * @param service the service
 * @param from the version that the traffic leaves
 * @param to the version that the traffic goes to
 * @param startMillis when the move was committed, milliseconds since the epoch
 * @param deadlineMillis when all traffic is due on the new version, milliseconds since the epoch
 * @param sharePermille the share of the traffic on the new version, 0 to 1000
 */
public record Move(
    ServiceName service,
    VersionName from,
    VersionName to,
    long startMillis,
    long deadlineMillis,
    int sharePermille) {
  /** The share of all traffic. */
  public static final int FULL_SHARE_PERMILLE = 1000;

  /**
   * Validates the share.
   *
   * @throws IllegalArgumentException when the share is not 0 to 1000
   */
  public Move {
    if (sharePermille < 0 || sharePermille > FULL_SHARE_PERMILLE) {
      throw new IllegalArgumentException("share must be 0 to 1000 permille, got " + sharePermille);
    }
  }

  /** Returns this move with another share of the traffic. */
  public Move withShare(int permille) {
    return new Move(service, from, to, startMillis, deadlineMillis, permille);
  }
}
