package io.hemlockbend.codec;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;

/**
 * What an upstream tells its node, as JSON, when it starts, drains, and as a heartbeat between.
 *
 * @param upstream the upstream
 * @param start names this start of its process; a new one may be cold
 * @param service the service that it belongs to
 * @param version the version that it runs
 * @param state ready or draining
 * @param slots how many requests it serves at once when warm
 * @param host the IP address that it listens on
 * @param port the TCP port that it listens on
 */
public record AnnouncementBody(
    UpstreamId upstream,
    StartId start,
    ServiceName service,
    VersionName version,
    EndpointState state,
    int slots,
    String host,
    int port) {}
