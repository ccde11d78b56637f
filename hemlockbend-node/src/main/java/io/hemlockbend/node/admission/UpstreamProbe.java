package io.hemlockbend.node.admission;

import io.hemlockbend.core.api.NodeAddress;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;

/** Finds out whether an upstream has crashed, by opening a connection to it. */
final class UpstreamProbe {
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  private UpstreamProbe() {}

  /**
   * Returns whether a connection is refused. One that is accepted, or whose fate is not known in
   * time, does not count as refused.
   */
  static CompletableFuture<Boolean> refuses(NodeAddress address) {
    CompletableFuture<Boolean> refused = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> refused.complete(connectRefused(address)));
    return refused;
  }

  private static boolean connectRefused(NodeAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
