package io.hemlockbend.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Reads a socket with two time-outs: a frame must begin within the idle time-out, and be complete
 * within the frame time-out from its first byte, however slowly its bytes arrive.
 */
final class DeadlineStream extends InputStream {
  private final Socket socket;
  private final InputStream in;
  private final int idleMillis;
  private final int frameTimeoutMillis;
  private long deadlineNanos;
  private boolean frameBegun;

  DeadlineStream(Socket socket, int idleMillis, int frameTimeoutMillis) throws IOException {
    this.socket = socket;
    this.in = socket.getInputStream();
    this.idleMillis = idleMillis;
    this.frameTimeoutMillis = frameTimeoutMillis;
  }

  /** Starts the idle time-out; the first byte received starts the frame time-out. */
  void expectFrame() {
    frameBegun = false;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    int count = read(one, 0, 1);
    return count < 0 ? count : one[0] & 0xff;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    socket.setSoTimeout(frameBegun ? remainingMillis() : idleMillis);
    int count = in.read(buffer, offset, length);
    if (!frameBegun) {
      frameBegun = true;
      deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(frameTimeoutMillis);
    }
    return count;
  }

  private int remainingMillis() throws SocketTimeoutException {
    long millis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    if (millis <= 0) {
      throw new SocketTimeoutException("frame not complete within " + frameTimeoutMillis + " ms");
    }
    return (int) millis;
  }
}
