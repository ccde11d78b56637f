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
 * Takes connections from other nodes and hands on the messages that come over them. Each connection
 * has a virtual thread; the consumer is called by all of them and must neither block nor throw.
 */
public final class PeerListener implements AutoCloseable {
  private static final int BACKLOG = 256;

  private final WireSettings settings;
  private final FrameCodec frames;
  private final WireCounters counters;
  private final Consumer<PeerMessage> consumer;
  private final ServerSocket server;
  private final Semaphore free;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /**
   * Opens the listener and starts to take connections.
   *
   * @param address where to listen; port 0 takes a free one
   * @param settings bounds
   * @param frames reads messages
   * @param counters counts what comes in
   * @param consumer takes the messages
   * @throws WireException when the address can't be listened on
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
    this.free = new Semaphore(settings.maxIncoming());
    this.server = listen(address);
    Thread.ofVirtual().name("peer-accept").start(this::accept);
  }

  /** Returns the port that is listened on. */
  public int port() {
    return server.getLocalPort();
  }

  @Override
  public void close() {
    closeQuietly(server);
    open.forEach(PeerListener::closeQuietly);
  }

  private static ServerSocket listen(InetSocketAddress address) {
    try {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(address, BACKLOG);
      return socket;
    } catch (IOException e) {
      throw new WireException(
          WireException.Kind.CONNECTION, "can't listen on " + address.getPort(), e);
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        admit(server.accept());
      } catch (IOException e) {
        if (!server.isClosed()) {
          counters.error(WireException.Kind.CONNECTION);
        }
      }
    }
  }

  private void admit(Socket socket) {
    if (!free.tryAcquire()) {
      counters.refuseConnection();
      closeQuietly(socket);
      return;
    }
    open.add(socket);
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
      open.remove(socket);
      free.release();
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
      // A socket that can't be closed is closed already.
    }
  }
}
