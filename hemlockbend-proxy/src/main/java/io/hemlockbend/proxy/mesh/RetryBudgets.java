package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.retry.RetryBounds;
import io.hemlockbend.core.retry.SharedRetryBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** This node's parts of the retry budgets that all nodes share, one for each service. */
final class RetryBudgets {
  private final Clock clock;
  private final RetryBounds bounds;
  private final IntSupplier nodes;
  private final long startMillis;
  private final Map<ServiceName, SharedRetryBudget> budgets = new HashMap<>();

  /**
   * Creates the budgets of a node that starts now.
   *
   * @param clock the source of the current time
   * @param bounds the budget of all nodes together, for each service
   * @param nodes supplies the number of nodes; 0 while it is not known
   */
  RetryBudgets(Clock clock, RetryBounds bounds, IntSupplier nodes) {
    this.clock = clock;
    this.bounds = bounds;
    this.nodes = nodes;
    this.startMillis = clock.millis();
  }

  void recordCall(ServiceName service) {
    budget(service).recordCall(nodes.getAsInt(), clock.millis());
  }

  boolean tryAcquire(ServiceName service) {
    return budget(service).tryAcquire(nodes.getAsInt(), clock.millis());
  }

  private SharedRetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new SharedRetryBudget(bounds, startMillis));
  }
}
