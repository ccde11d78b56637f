package io.hemlockbend.core.model;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;

/**
 * Traffic of a service on its way from the active version to another; ends by deadline or is taken
 * back.
 *
 * @param service the service
 * @param from the version that the traffic leaves
 * @param to the version that the traffic goes to
 * @param startMillis when it was committed, milliseconds since the epoch
 * @param deadlineMillis when all traffic is due on the new version, milliseconds since the epoch
 * @param sharePermille how much of the traffic goes to the new version now, 0 to 1000
 */
public record Move(
    ServiceName service,
    VersionName from,
    VersionName to,
    long startMillis,
    long deadlineMillis,
    int sharePermille) {
  /** The share of all traffic. */
  public static final int ALL_PERMILLE = 1000;

  /**
   * Validates share and times.
   *
   * @throws IllegalArgumentException when the share is out of range
   */
  public Move {
    if (sharePermille < 0 || sharePermille > ALL_PERMILLE) {
      throw new IllegalArgumentException("share must be 0 to 1000 permille: " + sharePermille);
    }
  }

  /** Returns the same move at another share. */
  public Move withShare(int permille) {
    return new Move(service, from, to, startMillis, deadlineMillis, permille);
  }
}
