package io.hemlockbend.node;

import io.hemlockbend.node.settings.NodeSettings;
import java.io.IOException;
import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes the Jetty server, its listeners and the client, within the bounds of a small process. */
final class HttpParts {
  private static final int HEADER_BYTES = 16_384;
  private static final int IDLE_MILLIS = 30_000;
  private static final int POOLED_IDLE_MILLIS = 2_000;
  private static final int CONNECT_MILLIS = 500;
  private static final int CONNECTIONS_PER_DESTINATION = 128;
  private static final int BACKLOG = 512;
  private static final int LEAST_THREADS = 8;

  private HttpParts() {}

  static Server server(NodeSettings settings) {
    QueuedThreadPool threads = new QueuedThreadPool(settings.trafficThreads(), LEAST_THREADS);
    threads.setName("traffic");
    return new Server(threads);
  }

  /**
   * Opens a listener; it takes connections once the server is started.
   *
   * @throws NodeException when the port is taken
   */
  static ServerConnector listener(Server server, String name, String host, int port) {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(HEADER_BYTES);
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector listener = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    listener.setName(name);
    listener.setHost(host);
    listener.setPort(port);
    listener.setIdleTimeout(IDLE_MILLIS);
    listener.setAcceptQueueSize(BACKLOG);
    try {
      listener.open();
    } catch (IOException e) {
      throw new NodeException("cannot listen on " + host + ":" + port + " for " + name, e);
    }
    server.addConnector(listener);
    return listener;
  }

  /** Makes the client; a pooled connection lives 2 s unused, so that a reused one worked lately. */
  static HttpClient client(Executor executor) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(executor);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(executor);
    client.setUserAgentField(null);
    client.setFollowRedirects(false);
    client.setConnectTimeout(CONNECT_MILLIS);
    client.setIdleTimeout(POOLED_IDLE_MILLIS);
    client.setMaxConnectionsPerDestination(CONNECTIONS_PER_DESTINATION);
    client.getContentDecoderFactories().clear();
    return client;
  }
}
