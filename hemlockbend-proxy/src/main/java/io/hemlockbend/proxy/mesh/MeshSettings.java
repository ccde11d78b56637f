package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.retry.RetryBounds;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.net.InetSocketAddress;

/**
 * The settings of a node.
 *
 * @param self the node and the address it listens on for other nodes
 * @param service the service of the upstream beside it
 * @param callers the address it listens on for callers
 * @param upstream the address of the upstream beside it
 * @param names the header fields that the platform defines
 * @param retries the retry budget
 * @param cold how far the request rate of cold upstreams may be exceeded
 * @param intake limits for large bodies received over the instance's link
 * @param graceMillis the maximum duration of a graceful shutdown
 */
public record MeshSettings(
    NodeInfo self,
    ServiceName service,
    InetSocketAddress callers,
    InetSocketAddress upstream,
    FieldNames names,
    RetryBounds retries,
    ColdAllowance cold,
    IntakeSettings intake,
    long graceMillis) {}
