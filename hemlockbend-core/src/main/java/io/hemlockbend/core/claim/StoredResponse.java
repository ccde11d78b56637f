package io.hemlockbend.core.claim;

/**
 * The complete response to a finished request, stored for replay to its resends.
 *
 * @param status the HTTP status
 * @param contentType the content type; the empty string when there was none
 * @param body the body; must not be modified
 */
public record StoredResponse(int status, String contentType, byte[] body) {
  private static final int OVERHEAD_BYTES = 256;

  /** Returns the approximate memory use of the response. */
  int sizeBytes() {
    return body.length + OVERHEAD_BYTES;
  }
}
