package io.hemlockbend.core.traffic;

import java.util.List;

/**
 * A route: which requests it takes and how they are handled.
 *
 * @param name its name
 * @param host the host that requests name, in lower case
 * @param prefix what their paths begin with; begins and ends with a slash
 * @param kind whether they may be repeated
 * @param timeoutMillis the longest time to an answer
 * @param targetMillis the time within which an answer has its full value
 * @param priority the rank, 0 the most urgent
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param services the services that run them, with weights; at least one
 */
public record TrafficRoute(
    String name,
    String host,
    String prefix,
    RepeatKind kind,
    long timeoutMillis,
    long targetMillis,
    int priority,
    int maxAttempts,
    List<WeightedService> services) {

  /**
   * Validates the route and copies the list.
   *
   * @throws IllegalArgumentException when the prefix, a time or the list is not usable
   */
  public TrafficRoute {
    services = List.copyOf(services);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
    }
    if (timeoutMillis < 1 || maxAttempts < 1 || services.isEmpty()) {
      throw new IllegalArgumentException(
          "route " + name + " needs a timeout, an attempt and a service");
    }
  }

  /** Returns whether a request may run more than once. */
  public boolean idempotent() {
    return kind == RepeatKind.IDEMPOTENT;
  }
}
