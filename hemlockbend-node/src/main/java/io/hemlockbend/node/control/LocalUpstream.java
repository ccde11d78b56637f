package io.hemlockbend.node.control;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.VersionKey;
import java.util.Optional;

/**
 * State of the upstream beside this node, from its announcements. An upstream whose announcements
 * stop, or that accepts no connections, counts as down until it announces itself again.
 */
final class LocalUpstream {
  private final long announcementMillis;
  private Endpoint endpoint;
  private NodeAddress address;
  private long announcedMillis;
  private boolean nodeLeaving;

  /** The process that has announced that it drains, which is final; null if none has. */
  private StartId drainingStart;

  LocalUpstream(long announcementMillis) {
    this.announcementMillis = announcementMillis;
  }

  /** Records an announcement; returns whether it reveals a crash: a new start without a drain. */
  boolean announced(AnnouncementBody body, long nowMillis) {
    if (body.state() == EndpointState.DRAINING) {
      drainingStart = body.start();
    }
    boolean draining = nodeLeaving || body.start().equals(drainingStart);
    Endpoint next =
        new Endpoint(
            body.upstream(),
            body.start(),
            new VersionKey(body.service(), body.version()),
            draining ? EndpointState.DRAINING : body.state(),
            body.slots());
    boolean crashed =
        endpoint != null
            && endpoint.state() == EndpointState.READY
            && endpoint.upstream().equals(next.upstream())
            && !endpoint.start().equals(next.start());
    endpoint = next;
    address = new NodeAddress(body.host(), body.port());
    announcedMillis = nowMillis;
    return crashed;
  }

  /** Records that the upstream accepts no connections; returns whether the state changed. */
  boolean markUnreachable() {
    return changeState(EndpointState.DOWN);
  }

  /**
   * Marks the upstream as draining, since its node leaves; later announcements do not undo this.
   * Returns whether the state changed.
   */
  boolean drain() {
    nodeLeaving = true;
    return endpoint != null
        && endpoint.state() != EndpointState.DOWN
        && changeState(EndpointState.DRAINING);
  }

  /** Marks the upstream as down if its last announcement expired; returns whether it changed. */
  boolean expire(long nowMillis) {
    return nowMillis - announcedMillis > announcementMillis && changeState(EndpointState.DOWN);
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
