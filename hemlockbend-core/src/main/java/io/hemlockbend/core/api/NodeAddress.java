package io.hemlockbend.core.api;

/**
 * Where a listener of a node takes connections.
 *
 * @param host an IP number
 * @param port the TCP port, 1 to 65535
 */
public record NodeAddress(String host, int port) {

  /**
   * Validates the port.
   *
   * @throws IllegalArgumentException when the host is blank or the port out of range
   */
  public NodeAddress {
    if (host == null || host.isBlank() || port < 1 || port > 65_535) {
      throw new IllegalArgumentException("address must be host and port, got " + host + ":" + port);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
