package io.hemlockbend.core.api;

/** Supplies the time; the only time source in the core. */
@FunctionalInterface
public interface Clock {
  /**
   * Returns the time in milliseconds since the epoch, or since an arbitrary origin when the clock
   * is documented as monotonic.
   */
  long millis();
}
