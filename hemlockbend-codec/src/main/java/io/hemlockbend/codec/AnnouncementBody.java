package io.hemlockbend.codec;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;

/**
 * The JSON body that an upstream sends to its node when it starts, when it drains, and as a
 * heartbeat in between.
 *
 * @param upstream the upstream
 * @param start identifies this start of its process; after a new start it may be cold
 * @param service the service that it belongs to
 * @param version the version that it runs
 * @param state ready or draining
 * @param slots the number of requests that it serves concurrently when warm
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
