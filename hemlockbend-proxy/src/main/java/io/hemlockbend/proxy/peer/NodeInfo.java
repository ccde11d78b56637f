package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import java.net.InetSocketAddress;

/**
 * Where a node is.
 *
 * @param node the node
 * @param ip the IP number that it listens on for other nodes
 * @param port the port that it listens on for other nodes
 * @param domain its failure domain
 * @param startedMillis when its process started, by its own time of day; tells its starts apart
 */
public record NodeInfo(NodeId node, String ip, int port, FailureDomain domain, long startedMillis) {
  /** Returns the address for other nodes. */
  public InetSocketAddress address() {
    return new InetSocketAddress(ip, port);
  }
}
