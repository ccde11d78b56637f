package io.hemlockbend.core.api;

/** Tells the time; the only source of time in the core. */
@FunctionalInterface
public interface Clock {
  /**
   * Returns the time in milliseconds, since the epoch unless the clock says that it is a steady
   * one.
   */
  long millis();
}
