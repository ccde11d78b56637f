package io.hemlockbend.testkit.rollout;

/** The ways in which the new version of a modelled move is bad. */
enum Badness {
  /** Like its predecessor. */
  NONE,
  /** Fails every call from the start. */
  FAILS_ALL,
  /** Fails every fifth call from the start. */
  FAILS_SOME,
  /** Takes three times as long from the start. */
  SLOW,
  /** Fails three in ten calls from a time of the move on that is drawn from the seed. */
  LATE,
  /** Fails three in ten calls once the deadline has passed. */
  AFTER_MOVE,
  /** Fails three in ten calls once it gets a tenth of all calls in a failure domain. */
  UNDER_LOAD,
  /** Fails half of the calls of the least used route. */
  ONE_ROUTE;

  private static final double LOADED_PART = 0.1;

  /**
   * Returns the effect on a call of the new version.
   *
   * @param route the route's index
   * @param movePart the part of the move's time that has passed
   * @param latePart the part from which on a version is bad that turns bad late
   * @param loadPart the calls that it gets in the failure domain, as a part of all calls
   */
  Effect effect(int route, double movePart, double latePart, double loadPart) {
    return switch (this) {
      case NONE -> Effect.NONE;
      case FAILS_ALL -> new Effect(1, 1);
      case FAILS_SOME -> new Effect(0.2, 1);
      case SLOW -> new Effect(0, 3);
      case LATE -> movePart > latePart ? new Effect(0.3, 1) : Effect.NONE;
      case AFTER_MOVE -> movePart > 1 ? new Effect(0.3, 1) : Effect.NONE;
      case UNDER_LOAD -> loadPart > LOADED_PART ? new Effect(0.3, 1) : Effect.NONE;
      case ONE_ROUTE -> route == ModelTraffic.ROUTES - 1 ? new Effect(0.5, 1) : Effect.NONE;
    };
  }
}
