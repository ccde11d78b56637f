package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.RouteName;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving average of the service times of each route, in milliseconds. It adapts slowly,
 * so that sudden changes stand out. Routes are kept apart, since a photo takes longer than a lookup
 * and a change in their mix must not look like a slow upstream.
 */
final class ServiceTimes {
  private static final int MAX_ROUTES = 256;
  private static final RouteName OTHER_ROUTES = new RouteName("other");

  private final Map<RouteName, Baseline> routes = new HashMap<>();
  private final Baseline all = new Baseline();

  /** Adds a sample and returns its ratio to the usual time of its route; 1 if that is unknown. */
  double ratio(RouteName route, double serviceMillis) {
    Baseline baseline = baseline(route);
    double ratio = baseline.ratio(serviceMillis);
    baseline.add(serviceMillis);
    all.add(serviceMillis);
    return ratio;
  }

  /** Returns the usual service time of a route in milliseconds; 0 if there is no sample. */
  double expectedMillis(RouteName route) {
    Baseline baseline = routes.get(route);
    return baseline == null ? all.mean : baseline.mean;
  }

  /** Returns the usual service time over all routes in milliseconds; 0 if there is no sample. */
  double expectedMillis() {
    return all.mean;
  }

  private Baseline baseline(RouteName route) {
    Baseline known = routes.get(route);
    if (known != null) {
      return known;
    }
    RouteName name = routes.size() < MAX_ROUTES ? route : OTHER_ROUTES;
    return routes.computeIfAbsent(name, key -> new Baseline());
  }

  /** An exponential moving average that starts as an arithmetic mean. */
  private static final class Baseline {
    private static final int WINDOW_SAMPLES = 256;
    private static final int TRUSTED_SAMPLES = 16;
    private static final double MAX_RATIO = 4;
    private static final double NOISE_MILLIS = 2;

    private double mean;
    private int samples;

    double ratio(double millis) {
      return samples < TRUSTED_SAMPLES ? 1 : Math.min(MAX_RATIO, millis / (mean + NOISE_MILLIS));
    }

    void add(double millis) {
      double maxSample = MAX_RATIO * (mean + NOISE_MILLIS);
      double sample = samples < TRUSTED_SAMPLES ? millis : Math.min(millis, maxSample);
      samples = Math.min(samples + 1, WINDOW_SAMPLES);
      mean += (sample - mean) / samples;
    }
  }
}
