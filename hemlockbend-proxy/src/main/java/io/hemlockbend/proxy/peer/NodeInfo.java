package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import java.net.InetSocketAddress;

/**
 * The identity and address of a node.
 *
 * @param node the node
 * @param ip the IP address that it listens on for other nodes
 * @param port the port that it listens on for other nodes
 * @param domain its failure domain
 * @param startedMillis when its process started, by its own wall clock; distinguishes restarts
 */
public record NodeInfo(NodeId node, String ip, int port, FailureDomain domain, long startedMillis) {
  /** Returns the address that other nodes connect to. */
  public InetSocketAddress address() {
    return new InetSocketAddress(ip, port);
  }
}
