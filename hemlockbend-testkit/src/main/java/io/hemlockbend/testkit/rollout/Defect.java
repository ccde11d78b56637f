package io.hemlockbend.testkit.rollout;

/** The defects of the new version in a modelled move. */
enum Defect {
  /** None: behaves like its predecessor. */
  NONE,
  /** Fails every call from the start. */
  FAILS_ALL,
  /** Fails every fifth call from the start. */
  FAILS_SOME,
  /** Has three times the service time from the start. */
  SLOW,
  /** Fails three in ten calls after a time within the move that is drawn from the seed. */
  LATE,
  /** Fails three in ten calls after the deadline of the move. */
  AFTER_MOVE,
  /**
   * Fails three in ten calls while its upstreams in one failure domain get over a tenth of all
   * calls.
   */
  UNDER_LOAD,
  /** Fails half of the calls of the least used route. */
  ONE_ROUTE;

  private static final double LOAD_THRESHOLD = 0.1;

  /**
   * Returns the effect on a call of the new version.
   *
   * @param route the route's index
   * @param moveFraction the elapsed fraction of the move's time; over 1 after the deadline
   * @param lateFraction the fraction of the move's time after which {@link #LATE} takes effect
   * @param loadFraction the calls to the new version in the failure domain, as a fraction of all
   *     calls
   */
  Effect effect(int route, double moveFraction, double lateFraction, double loadFraction) {
    return switch (this) {
      case NONE -> Effect.NONE;
      case FAILS_ALL -> new Effect(1, 1);
      case FAILS_SOME -> new Effect(0.2, 1);
      case SLOW -> new Effect(0, 3);
      case LATE -> moveFraction > lateFraction ? new Effect(0.3, 1) : Effect.NONE;
      case AFTER_MOVE -> moveFraction > 1 ? new Effect(0.3, 1) : Effect.NONE;
      case UNDER_LOAD -> loadFraction > LOAD_THRESHOLD ? new Effect(0.3, 1) : Effect.NONE;
      case ONE_ROUTE -> route == ModelTraffic.ROUTES - 1 ? new Effect(0.5, 1) : Effect.NONE;
    };
  }
}
