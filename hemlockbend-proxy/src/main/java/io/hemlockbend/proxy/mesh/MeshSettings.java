package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.net.InetSocketAddress;

/**
 * What a node needs to know to start.
 *
 * @param self the node and its address for other nodes
 * @param service the service of the upstream beside it
 * @param callers the address for callers
 * @param upstream the address of the upstream beside it
 * @param names the header fields with a meaning
 * @param entry bounds of the node as an entry
 * @param cold how far the rate of cold upstreams may be exceeded
 * @param intake bounds of the large bodies that come in over the instance's link
 * @param graceMillis how long a stop may take
 */
public record MeshSettings(
    NodeInfo self,
    ServiceName service,
    InetSocketAddress callers,
    InetSocketAddress upstream,
    FieldNames names,
    EntrySettings entry,
    ColdAllowance cold,
    IntakeSettings intake,
    long graceMillis) {}
