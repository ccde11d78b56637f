package io.hemlockbend.testkit.rollout;

/**
 * The disturbances around a modelled move. Each starts at a time drawn from the seed, except scarce
 * traffic, which lasts the whole move.
 */
enum Disturbance {
  /** None. */
  CALM,
  /** One failure domain fails three in ten calls of each version and is slow, for 40 s. */
  SICK_DOMAIN,
  /** All calls take five times as long and one in twenty fails, for 60 s. */
  OVERLOAD,
  /** The table is slow, loses one answer in ten and is down for 30 s. */
  SLOW_PLATFORM,
  /** The lease holder dies. */
  HOLDER_DEATH,
  /** The lease holder is paused for 25 s. */
  PAUSED_HOLDER,
  /** One failure domain is withdrawn. */
  WITHDRAWAL,
  /** One call every five seconds. */
  SCARCE_TRAFFIC;

  static final long SICK_MILLIS = 40_000;
  static final long OVERLOAD_MILLIS = 60_000;
  static final long OUTAGE_MILLIS = 30_000;
  static final long PAUSE_MILLIS = 25_000;

  /** Returns the effect on a call of any version. */
  Effect effect(int domain, long sinceMillis) {
    return switch (this) {
      case SICK_DOMAIN ->
          domain == 0 && sinceMillis >= 0 && sinceMillis < SICK_MILLIS
              ? new Effect(0.3, 3)
              : Effect.NONE;
      case OVERLOAD ->
          sinceMillis >= 0 && sinceMillis < OVERLOAD_MILLIS ? new Effect(0.05, 5) : Effect.NONE;
      case CALM, SLOW_PLATFORM, HOLDER_DEATH, PAUSED_HOLDER, WITHDRAWAL, SCARCE_TRAFFIC ->
          Effect.NONE;
    };
  }
}
