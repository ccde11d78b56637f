package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import java.net.InetAddress;
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
  private static final int MAX_PORT = 65_535;

  /**
   * Validates the address, so that a node with an invalid one is not dialed again and again.
   *
   * @throws IllegalArgumentException if the IP address is no literal or the port is out of range
   */
  public NodeInfo {
    InetAddress.ofLiteral(ip);
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port must be 1 to " + MAX_PORT + ", got " + port);
    }
  }

  /** Returns the address that other nodes connect to. */
  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.ofLiteral(ip), port);
  }
}
