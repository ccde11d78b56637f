package io.hemlockbend.proxy.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects the chunks of a body up to a size limit. */
final class BodyBuffer {
  private static final byte[] EMPTY = new byte[0];
  private static final int INITIAL_BYTES = 1_024;

  private byte[] bytes = EMPTY;
  private int length;

  /** Allocates the buffer for a body of known length, which avoids copies as the body grows. */
  void reserve(long contentLength, long maxBytes) {
    if (contentLength > 0 && contentLength <= maxBytes) {
      bytes = new byte[(int) contentLength];
    }
  }

  /** Appends a chunk; returns false, without consuming it, if the body would exceed the limit. */
  boolean add(ByteBuffer chunk, long maxBytes) {
    int more = chunk.remaining();
    if ((long) length + more > maxBytes) {
      return false;
    }
    if (length + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + more, Math.max(INITIAL_BYTES, 2 * length)));
    }
    chunk.get(bytes, length, more);
    length += more;
    return true;
  }

  /** Returns the number of bytes so far. */
  int length() {
    return length;
  }

  /** Returns the body and resets the buffer. */
  byte[] take() {
    byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    bytes = EMPTY;
    length = 0;
    return body;
  }
}
