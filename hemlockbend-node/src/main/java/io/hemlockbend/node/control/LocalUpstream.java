package io.hemlockbend.node.control;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.VersionKey;
import java.util.Optional;

/**
 * Knows the upstream beside this node from its announcements. An upstream whose announcements stop,
 * or that takes no connections, counts as down until it announces itself again.
 */
final class LocalUpstream {
  private final long announcementMillis;
  private Endpoint endpoint;
  private NodeAddress address;
  private long heardMillis;
  private boolean nodeLeaves;

  LocalUpstream(long announcementMillis) {
    this.announcementMillis = announcementMillis;
  }

  /** Takes in an announcement; returns whether it tells of a crash: a new start without a drain. */
  boolean announced(AnnouncementBody body, long nowMillis) {
    Endpoint next =
        new Endpoint(
            body.upstream(),
            body.start(),
            new VersionKey(body.service(), body.version()),
            nodeLeaves ? EndpointState.DRAINING : body.state(),
            body.slots());
    boolean crashed =
        endpoint != null
            && endpoint.state() == EndpointState.READY
            && endpoint.upstream().equals(next.upstream())
            && !endpoint.start().equals(next.start());
    endpoint = next;
    address = new NodeAddress(body.host(), body.port());
    heardMillis = nowMillis;
    return crashed;
  }

  /** Notes that the upstream takes no connections; returns whether that is news. */
  boolean unreachable() {
    return changeState(EndpointState.DOWN);
  }

  /**
   * Notes that the node leaves, whatever the upstream announces from now on; returns whether that
   * is news.
   */
  boolean draining() {
    nodeLeaves = true;
    return endpoint != null
        && endpoint.state() != EndpointState.DOWN
        && changeState(EndpointState.DRAINING);
  }

  /** Returns whether the announcements stopped just now; the upstream then counts as down. */
  boolean expired(long nowMillis) {
    return nowMillis - heardMillis > announcementMillis && changeState(EndpointState.DOWN);
  }

  Optional<Endpoint> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  Optional<NodeAddress> address() {
    return Optional.ofNullable(address);
  }

  private boolean changeState(EndpointState state) {
    if (endpoint == null || endpoint.state() == state) {
      return false;
    }
    endpoint =
        new Endpoint(
            endpoint.upstream(), endpoint.start(), endpoint.key(), state, endpoint.slots());
    return true;
  }
}
