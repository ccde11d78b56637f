package io.hemlockbend.proxy.peer;

/** A message between nodes that cannot be written or read. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
