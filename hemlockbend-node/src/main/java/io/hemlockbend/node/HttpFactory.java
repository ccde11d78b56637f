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

/** Creates the Jetty server, its listeners and the client, with limits for a small process. */
final class HttpFactory {
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int IDLE_TIMEOUT_MILLIS = 30_000;
  private static final int POOLED_IDLE_TIMEOUT_MILLIS = 2_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int MAX_CONNECTIONS_PER_DESTINATION = 128;
  private static final int ACCEPT_BACKLOG = 512;
  private static final int MIN_THREADS = 8;

  private HttpFactory() {}

  static Server server(NodeSettings settings) {
    QueuedThreadPool threads = new QueuedThreadPool(settings.trafficThreads(), MIN_THREADS);
    threads.setName("traffic");
    return new Server(threads);
  }

  /**
   * Opens a listener; it accepts connections once the server is started.
   *
   * @throws NodeException if the address cannot be bound
   */
  static ServerConnector listener(Server server, String name, String host, int port) {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector listener = new ServerConnector(server, 0, 1, new HttpConnectionFactory(http));
    listener.setName(name);
    listener.setHost(host);
    listener.setPort(port);
    listener.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    listener.setAcceptQueueSize(ACCEPT_BACKLOG);
    try {
      listener.open();
    } catch (IOException e) {
      throw new NodeException("cannot listen on " + host + ":" + port + " for " + name, e);
    }
    server.addConnector(listener);
    return listener;
  }

  /** Creates the client. Connections idle for 2 s are closed, since stale ones may be broken. */
  static HttpClient client(Executor executor) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(executor);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(executor);
    client.setUserAgentField(null);
    client.setFollowRedirects(false);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(POOLED_IDLE_TIMEOUT_MILLIS);
    // Without a limit, the head of an answer that never ends is kept until the request times out.
    client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
    client.getContentDecoderFactories().clear();
    return client;
  }
}
