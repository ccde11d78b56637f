package io.hemlockbend.testkit.matrix;

/**
 * Sizes and load of a run.
 *
 * @param upstreams the number of upstreams, each with a node of its own
 * @param entries the number of entries
 * @param slots the concurrent requests of a warm upstream
 * @param coldSlots the concurrent requests of an upstream when it starts
 * @param coldSlowdown the factor on the service time until the upstream is warm
 * @param warmUpMillis the time from the start until the upstream is warm
 * @param restartMillis the time from the death of a process to its restart
 * @param serviceMillis the mean service time of a warm upstream
 * @param callsPerSecond the load of all callers together
 * @param endMillis when the last request is sent
 * @param maxSends the most sends of one request by its caller
 */
record Sizes(
    int upstreams,
    int entries,
    int slots,
    int coldSlots,
    double coldSlowdown,
    long warmUpMillis,
    long restartMillis,
    long serviceMillis,
    double callsPerSecond,
    long endMillis,
    int maxSends) {
  /** A small mesh, for many short runs. */
  static final Sizes MATRIX = new Sizes(3, 2, 3, 1, 4, 1_000, 600, 40, 120, 3_000, 5);

  /** The size of a present-day service. */
  static final Sizes BENCH = new Sizes(4, 2, 10, 2, 3, 5_000, 2_000, 50, 480, 25_000, 1);

  /** Returns the requests per second that all upstreams together answer when warm. */
  double capacityPerSecond() {
    return upstreams * slots * 1_000.0 / serviceMillis;
  }

  Sizes atLoad(double load) {
    return new Sizes(
        upstreams,
        entries,
        slots,
        coldSlots,
        coldSlowdown,
        warmUpMillis,
        restartMillis,
        serviceMillis,
        load * capacityPerSecond(),
        endMillis,
        maxSends);
  }
}
