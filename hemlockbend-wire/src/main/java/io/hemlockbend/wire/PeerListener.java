package io.hemlockbend.wire;

import io.hemlockbend.core.message.PeerMessage;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * Accepts connections from other nodes and passes the received messages to a consumer. Each
 * connection has a virtual thread; the consumer is called from all of these threads and must
 * neither block nor throw.
 */
public final class PeerListener implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final WireSettings settings;
  private final FrameCodec frames;
  private final WireCounters counters;
  private final Consumer<PeerMessage> consumer;
  private final ServerSocket server;
  private final Semaphore permits;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

  /**
   * Binds the address and starts to accept connections.
   *
   * @param address the address to bind; port 0 selects a free port
   * @param settings limits and time-outs
   * @param frames decodes frames
   * @param counters counts incoming messages and errors
   * @param consumer receives the messages
   * @throws WireException when the address cannot be bound
   */
  public PeerListener(
      InetSocketAddress address,
      WireSettings settings,
      FrameCodec frames,
      WireCounters counters,
      Consumer<PeerMessage> consumer) {
    this.settings = settings;
    this.frames = frames;
    this.counters = counters;
    this.consumer = consumer;
    this.permits = new Semaphore(settings.maxIncoming());
    this.server = listen(address);
    Thread.ofVirtual().name("peer-accept").start(this::acceptAll);
  }

  /** Returns the local port. */
  public int port() {
    return server.getLocalPort();
  }

  @Override
  public void close() {
    closeQuietly(server);
    openSockets.forEach(PeerListener::closeQuietly);
  }

  private static ServerSocket listen(InetSocketAddress address) {
    try {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(address, BACKLOG);
      return socket;
    } catch (IOException e) {
      throw new WireException(
          WireException.Kind.CONNECTION, "cannot listen on port " + address.getPort(), e);
    }
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        startReader(server.accept());
      } catch (IOException e) {
        if (!server.isClosed()) {
          counters.error(WireException.Kind.CONNECTION);
        }
      }
    }
  }

  private void startReader(Socket socket) {
    if (!permits.tryAcquire()) {
      counters.refuseConnection();
      closeQuietly(socket);
      return;
    }
    openSockets.add(socket);
    Thread.ofVirtual().name("peer-read").start(() -> serve(socket));
    if (server.isClosed()) {
      closeQuietly(socket);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      readAll(socket);
    } catch (WireException e) {
      countUnlessClosed(e.kind());
    } catch (IOException e) {
      countUnlessClosed(WireException.Kind.CONNECTION);
    } finally {
      openSockets.remove(socket);
      permits.release();
    }
  }

  private void readAll(Socket socket) throws IOException {
    DeadlineStream stream =
        new DeadlineStream(socket, settings.idleMillis(), settings.frameTimeoutMillis());
    DataInputStream in = new DataInputStream(new BufferedInputStream(stream));
    Optional<FrameCodec.Frame> frame;
    do {
      stream.expectFrame();
      frame = frames.read(in);
      frame.ifPresent(this::deliver);
    } while (frame.isPresent());
  }

  private void deliver(FrameCodec.Frame frame) {
    counters.received(frame.bytes());
    consumer.accept(frame.message());
  }

  private void countUnlessClosed(WireException.Kind kind) {
    if (!server.isClosed()) {
      counters.error(kind);
    }
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      // Closing fails only when the socket is closed already.
    }
  }
}
