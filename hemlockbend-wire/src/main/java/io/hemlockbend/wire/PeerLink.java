package io.hemlockbend.wire;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.PeerMessage;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An outgoing connection to one peer, with its send queue and writer thread. */
final class PeerLink implements AutoCloseable {
  private final NodeAddress peer;
  private final WireSettings settings;
  private final FrameCodec frames;
  private final WireCounters counters;
  private final Consumer<PeerLink> onEnd;
  private final BlockingQueue<PeerMessage> queue;
  private final Socket socket = new Socket();
  private volatile boolean closed;
  private final UnansweredMessages unanswered = new UnansweredMessages();
  private volatile long lastOfferNanos = System.nanoTime();

  PeerLink(
      NodeAddress peer,
      WireSettings settings,
      FrameCodec frames,
      WireCounters counters,
      Consumer<PeerLink> onEnd) {
    this.peer = peer;
    this.settings = settings;
    this.frames = frames;
    this.counters = counters;
    this.onEnd = onEnd;
    this.queue = new ArrayBlockingQueue<>(settings.queueMessages());
  }

  void start() {
    Thread.ofVirtual().name("peer-write").start(this::run);
  }

  /**
   * Queues a message, or drops it when the queue is full; returns false when the connection has
   * ended and a new one is needed.
   */
  boolean offer(PeerMessage message) {
    lastOfferNanos = System.nanoTime();
    synchronized (queue) {
      if (closed) {
        return false;
      }
      if (!queue.offer(message)) {
        counters.drop();
        return true;
      }
    }
    unanswered.sent(message, lastOfferNanos);
    return true;
  }

  /** Returns whether the peer has not answered a message within the answer time-out. */
  boolean answerOverdue() {
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.answerTimeoutMillis());
    return unanswered.overdue(timeoutNanos, System.nanoTime());
  }

  void messageReceived(PeerMessage message) {
    unanswered.received(message);
  }

  long lastOfferNanos() {
    return lastOfferNanos;
  }

  @Override
  public void close() {
    closed = true;
    closeSocket();
  }

  private void run() {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(peer.host(), peer.port()), settings.connectTimeoutMillis());
      writeAll(socket.getOutputStream());
    } catch (IOException e) {
      if (!closed) {
        counters.error(WireException.Kind.CONNECTION);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      dropQueued();
      onEnd.accept(this);
    }
  }

  /** Ends the link; no message is queued after those that are dropped here. */
  private void dropQueued() {
    synchronized (queue) {
      closed = true;
      queue.forEach(message -> counters.drop());
      queue.clear();
    }
  }

  private void writeAll(OutputStream out) throws IOException, InterruptedException {
    PeerMessage message = nextMessage();
    while (message != null) {
      write(out, message);
      message = nextMessage();
    }
  }

  private PeerMessage nextMessage() throws InterruptedException {
    return closed ? null : queue.poll(settings.idleMillis() / 2, TimeUnit.MILLISECONDS);
  }

  private void write(OutputStream out, PeerMessage message) throws IOException {
    byte[] frame;
    try {
      frame = frames.encode(message);
    } catch (WireException e) {
      counters.error(e.kind());
      counters.drop();
      return;
    }
    try {
      out.write(frame);
    } catch (IOException e) {
      counters.drop();
      throw e;
    }
    counters.sent(frame.length);
  }

  private void closeSocket() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closing fails only when the socket is closed already.
    }
  }
}
