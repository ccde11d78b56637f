package io.hemlockbend.testkit.matrix;

/**
 * Sizes of a run.
 *
 * @param upstreams how many upstreams, each with its node
 * @param entries how many of the nodes callers send to
 * @param slots how many requests an upstream runs at once when warm
 * @param coldSlots how many it bears in its cold start
 * @param coldSlowdown how much slower it is until it is warm
 * @param warmUpMillis how long its cold start takes
 * @param restartMillis how long a process is away that died
 * @param serviceMillis the mean service time of a warm upstream
 * @param callsPerSecond how many requests callers send
 * @param endMillis when the last one is sent
 * @param maxSends how often a caller sends a request at most
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
  /** Small enough for many runs. */
  static final Sizes MATRIX = new Sizes(3, 2, 3, 1, 4, 1_000, 600, 40, 120, 3_000, 5);

  /** As large as a service of today. */
  static final Sizes BENCH = new Sizes(4, 2, 10, 2, 3, 5_000, 2_000, 50, 480, 25_000, 1);

  /** Returns how many requests all warm upstreams answer in a second. */
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
