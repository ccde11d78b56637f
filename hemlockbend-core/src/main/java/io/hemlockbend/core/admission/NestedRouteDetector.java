package io.hemlockbend.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects the routes of nested calls at an entry. The upstream beside an entry makes its nested
 * calls through that entry and only while it runs requests, whereas the requests of callers arrive
 * also while it is idle. Detection by deadline ({@link NestedCallDetector}) fails where nested
 * calls have about as much time as the callers of the same service.
 */
public final class NestedRouteDetector {
  /** Nested calls arrive at an idle upstream's entry when the run that made them was given up. */
  private static final double MAX_IDLE_SHARE = 0.02;

  /** Number of arrivals before a route may count as one of nested calls. */
  private static final int MIN_ARRIVALS = 50;

  /** Number of arrivals at which both counts are halved, so that a change of use is noticed. */
  private static final int MAX_ARRIVALS = 4_096;

  private static final int MAX_ROUTES = 10_000;

  private final Map<String, Arrivals> routes = new HashMap<>();

  /**
   * Records the arrival of a request and returns whether its route is one of nested calls.
   *
   * @param route the route's name
   * @param upstreamBusy whether the upstream beside the entry runs requests
   */
  public boolean detect(String route, boolean upstreamBusy) {
    if (routes.size() >= MAX_ROUTES) {
      routes.clear();
    }
    return routes.computeIfAbsent(route, name -> new Arrivals()).record(upstreamBusy);
  }

  private static final class Arrivals {
    private int all;
    private int idle;

    boolean record(boolean upstreamBusy) {
      if (all == MAX_ARRIVALS) {
        all /= 2;
        idle /= 2;
      }
      all++;
      idle += upstreamBusy ? 0 : 1;
      return all >= MIN_ARRIVALS && idle <= MAX_IDLE_SHARE * all;
    }
  }
}
