package io.hemlockbend.proxy.peer;

/** Thrown when a message between nodes cannot be encoded or decoded. */
public final class PeerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  PeerException(String message, Throwable cause) {
    super(message, cause);
  }
}
