package io.hemlockbend.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * Reads a socket under two bounds: a frame must begin within the idle bound, and be whole within
 * the frame bound from then on, however slowly its bytes come.
 */
final class DeadlineStream extends InputStream {
  private final Socket socket;
  private final InputStream in;
  private final int idleMillis;
  private final int frameMillis;
  private long deadlineNanos;
  private boolean begun;

  DeadlineStream(Socket socket, int idleMillis, int frameMillis) throws IOException {
    this.socket = socket;
    this.in = socket.getInputStream();
    this.idleMillis = idleMillis;
    this.frameMillis = frameMillis;
  }

  /** Starts the idle bound; the first byte that comes starts the frame bound. */
  void expectFrame() {
    begun = false;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    int count = read(one, 0, 1);
    return count < 0 ? count : one[0] & 0xff;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    socket.setSoTimeout(begun ? remainingMillis() : idleMillis);
    int count = in.read(buffer, offset, length);
    if (!begun) {
      begun = true;
      deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(frameMillis);
    }
    return count;
  }

  private int remainingMillis() throws SocketTimeoutException {
    long millis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    if (millis <= 0) {
      throw new SocketTimeoutException("frame not whole in time");
    }
    return (int) millis;
  }
}
