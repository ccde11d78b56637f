package io.hemlockbend.platform;

import java.net.URI;

/**
 * The address of the platform and the time-out of calls.
 *
 * @param uri the root of its HTTP interface
 * @param timeoutMillis how long a call may take, from sending to the complete answer
 */
public record PlatformSettings(URI uri, long timeoutMillis) {
  /**
   * Validates the time-out.
   *
   * @throws IllegalArgumentException when the time-out is not positive
   */
  public PlatformSettings {
    if (timeoutMillis < 1) {
      throw new IllegalArgumentException("timeout must be at least 1 ms, got " + timeoutMillis);
    }
  }
}
