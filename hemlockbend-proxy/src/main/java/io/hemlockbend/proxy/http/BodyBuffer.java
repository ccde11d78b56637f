package io.hemlockbend.proxy.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects the pieces of a body up to a bound. */
final class BodyBuffer {
  private static final byte[] EMPTY = new byte[0];
  private static final int FIRST_BYTES = 1_024;

  private byte[] bytes = EMPTY;
  private int length;

  /** Makes room for a body of a known length, so that it is not copied as it grows. */
  void expect(long contentLength, long maxBytes) {
    if (contentLength > 0 && contentLength <= maxBytes) {
      bytes = new byte[(int) contentLength];
    }
  }

  /** Adds a piece, or returns false when the body grows beyond the bound. */
  boolean add(ByteBuffer piece, long maxBytes) {
    int more = piece.remaining();
    if ((long) length + more > maxBytes) {
      return false;
    }
    if (length + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + more, Math.max(FIRST_BYTES, 2 * length)));
    }
    piece.get(bytes, length, more);
    length += more;
    return true;
  }

  /** Returns the body and starts anew. */
  byte[] take() {
    byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    bytes = EMPTY;
    length = 0;
    return body;
  }
}
