package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Service;

/**
 * Splits a service's traffic between the versions of a move by a hash of the request's id, so that
 * every node sends a resend to the same version, and a growing share never moves a request back.
 */
final class VersionSplit {
  private static final int SPLIT_SALT = 0x9e3779b9;
  private static final int RESTORE_SALT = 0x85ebca6b;

  private VersionSplit() {}

  /**
   * Returns the version that the request goes to. If the new version has no eligible upstream, the
   * old one is used, but not the reverse: the new version must not exceed its share.
   */
  static VersionKey choose(RoutingTable table, Service service, RoutingRequest request) {
    ServiceName name = service.name();
    VersionKey active = new VersionKey(name, service.active());
    Move move = table.move(name);
    if (move == null || bucket(request.request(), SPLIT_SALT) >= move.sharePermille()) {
      return active;
    }
    VersionKey next = new VersionKey(name, move.to());
    boolean excluded = request.exclusions().versions().contains(next);
    return excluded || table.pool(next).all().isEmpty() ? active : next;
  }

  /** Returns the request's hash bucket for the shares of restored failure domains, 0 to 999. */
  static int restoreBucket(RequestId request) {
    return bucket(request, RESTORE_SALT);
  }

  /** Mixes the id's hash with the finalizer of MurmurHash3. */
  private static int bucket(RequestId request, int salt) {
    int hash = request.value().hashCode() ^ salt;
    hash ^= hash >>> 16;
    hash *= 0x85ebca6b;
    hash ^= hash >>> 13;
    hash *= 0xc2b2ae35;
    hash ^= hash >>> 16;
    return Math.floorMod(hash, Move.FULL_SHARE_PERMILLE);
  }
}
