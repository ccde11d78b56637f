package io.hemlockbend.core.traffic;

import java.util.List;

/**
 * A route: which requests it matches and how they are handled.
 *
 * @param name its name
 * @param host the host name that it matches, in lower case
 * @param prefix the path prefix that it matches; begins and ends with a slash
 * @param semantics whether requests may be retried after they may have run
 * @param timeoutMillis the maximum time until the answer
 * @param targetMillis the latency target; later answers have less than their full value
 * @param priority the priority; 0 is the most urgent
 * @param maxAttempts the maximum number of upstreams that a request is sent to
 * @param services the weighted services that handle the requests; at least one
 */
public record TrafficRoute(
    String name,
    String host,
    String prefix,
    RetrySemantics semantics,
    long timeoutMillis,
    long targetMillis,
    int priority,
    int maxAttempts,
    List<WeightedService> services) {

  /**
   * Validates the route and copies the list.
   *
   * @throws IllegalArgumentException if the prefix, timeout, attempts or services are invalid
   */
  public TrafficRoute {
    services = List.copyOf(services);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must begin and end with a slash, got " + prefix);
    }
    if (timeoutMillis < 1 || maxAttempts < 1 || services.isEmpty()) {
      throw new IllegalArgumentException(
          "route "
              + name
              + " needs timeout >= 1, attempts >= 1 and a service, got "
              + timeoutMillis
              + ", "
              + maxAttempts
              + ", "
              + services);
    }
  }

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return semantics == RetrySemantics.IDEMPOTENT;
  }
}
