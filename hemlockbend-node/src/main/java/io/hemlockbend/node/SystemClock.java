package io.hemlockbend.node;

import io.hemlockbend.core.api.Clock;

/** The system clock of the instance. */
public final class SystemClock implements Clock {

  @Override
  public long millis() {
    return System.currentTimeMillis();
  }
}
