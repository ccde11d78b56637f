package io.hemlockbend.platform;

import java.net.URI;

/**
 * Where the platform is and how long to wait for it.
 *
 * @param uri the root of its HTTP interface
 * @param timeoutMillis how long a call may take, from sending until the whole answer is there
 */
public record PlatformSettings(URI uri, long timeoutMillis) {
  /**
   * Validates the timeout.
   *
   * @throws IllegalArgumentException when the timeout is not positive
   */
  public PlatformSettings {
    if (timeoutMillis < 1) {
      throw new IllegalArgumentException("timeout must be at least 1 ms, got " + timeoutMillis);
    }
  }
}
