package io.hemlockbend.core.claim;

/**
 * The whole answer to a finished request, kept for its resends.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty when there was none
 * @param body the body; not to be changed
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
  private static final int OVERHEAD_BYTES = 256;

  /** Returns about how many bytes of memory the answer takes. */
  int sizeBytes() {
    return body.length + OVERHEAD_BYTES;
  }
}
