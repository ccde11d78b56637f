package io.hemlockbend.core.api;

/**
 * The address of a listener of a node.
 *
 * @param host the IP address, not blank
 * @param port the TCP port, 1 to 65535
 */
public record NodeAddress(String host, int port) {

  /**
   * Validates host and port.
   *
   * @throws IllegalArgumentException when the host is blank or the port out of range
   */
  public NodeAddress {
    if (host == null || host.isBlank() || port < 1 || port > 65_535) {
      throw new IllegalArgumentException(
          "address must be a host and a port of 1 to 65535, got " + host + ":" + port);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
