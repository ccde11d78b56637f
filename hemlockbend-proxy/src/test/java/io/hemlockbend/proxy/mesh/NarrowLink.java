package io.hemlockbend.proxy.mesh;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy that limits the rate of bytes to an instance, over all connections together. Bytes
 * from the instance are not limited.
 */
final class NarrowLink implements AutoCloseable {
  static final String HOST = "127.0.0.1";

  /** Kept small so that a sender notices at once that the link is full. */
  private static final int BUFFER_BYTES = 16 * 1024;

  private static final int CHUNK_BYTES = 4 * 1024;

  private final ServerSocket server = new ServerSocket();
  private final InetSocketAddress target;
  private final long bytesPerSecond;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private long freeNanos = System.nanoTime();
  private volatile boolean silent;

  NarrowLink(InetSocketAddress target, long bytesPerSecond) throws IOException {
    this.target = target;
    this.bytesPerSecond = bytesPerSecond;
    server.setReceiveBufferSize(BUFFER_BYTES);
    server.bind(new InetSocketAddress(HOST, 0));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Drops all further bytes to the instance; connections stay open. */
  void silence() {
    silent = true;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = server.accept();
        Socket callee = new Socket(target.getAddress(), target.getPort());
        caller.setTcpNoDelay(true);
        callee.setTcpNoDelay(true);
        open.add(caller);
        open.add(callee);
        Thread.ofVirtual().start(() -> pass(caller, callee, true));
        Thread.ofVirtual().start(() -> pass(callee, caller, false));
      }
    } catch (IOException e) {
      // The link was closed.
    }
  }

  private void pass(Socket from, Socket to, boolean rateLimited) {
    byte[] buffer = new byte[rateLimited ? CHUNK_BYTES : BUFFER_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (rateLimited) {
          TimeUnit.NANOSECONDS.sleep(delayNanos(count));
        }
        if (!rateLimited || !silent) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException | InterruptedException e) {
      // One side has closed; both sockets are closed.
    } finally {
      open.remove(from);
      open.remove(to);
    }
  }

  /** Returns the time until the given bytes have passed the link after all earlier ones. */
  private synchronized long delayNanos(int bytes) {
    long now = System.nanoTime();
    freeNanos = Math.max(now, freeNanos) + TimeUnit.SECONDS.toNanos(bytes) / bytesPerSecond;
    return freeNanos - now;
  }
}
