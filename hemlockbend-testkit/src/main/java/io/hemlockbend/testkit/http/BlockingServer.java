package io.hemlockbend.testkit.http;

import java.net.URI;
import java.util.concurrent.Executors;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A Jetty server that handles each request on a virtual thread. */
public final class BlockingServer implements AutoCloseable {
  private static final int MAX_PLATFORM_THREADS = 16;
  private static final int ACCEPT_QUEUE = 512;

  private final Server server;
  private final ServerConnector connector;
  private final int port;

  /**
   * Creates and starts a server.
   *
   * @param host the IP address to listen on
   * @param port the TCP port, or 0 for any that is free
   * @param responder handles the requests
   * @throws IllegalStateException when the server cannot listen on the port
   */
  public BlockingServer(String host, int port, Responder responder) {
    QueuedThreadPool threadPool = new QueuedThreadPool(MAX_PLATFORM_THREADS);
    threadPool.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server = new Server(threadPool);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    connector = new ServerConnector(server, new HttpConnectionFactory(configuration));
    connector.setHost(host);
    connector.setPort(port);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    server.setHandler(new RespondingHandler(responder));
    try {
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot listen on " + host + ":" + port, e);
    }
    this.port = connector.getLocalPort();
  }

  /** Returns the TCP port, also after a crash. */
  public int port() {
    return port;
  }

  /** Returns the root URI of the server. */
  public URI uri() {
    return URI.create("http://" + connector.getHost() + ":" + port);
  }

  /** Closes the listener and every connection at once, as when the process dies. */
  public void crash() {
    connector.close();
    connector.getConnectedEndPoints().forEach(EndPoint::close);
    Thread.ofVirtual().start(this::close);
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("server did not stop", e);
    }
  }

  private static final class RespondingHandler extends Handler.Abstract {
    private final Responder responder;

    RespondingHandler(Responder responder) {
      this.responder = responder;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      responder.respond(new Exchange(request, response));
      callback.succeeded();
      return true;
    }
  }
}
