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

  /** Records a request, see {@link SharedRetryBudget#recordCall}. */
  void recordCall(ServiceName service, boolean nested, double repeatProbability) {
    budget(service).recordCall(nested, repeatProbability, nodes.getAsInt(), clock.millis());
  }

  /** Takes one retry from the budget of a service; returns false if it is exhausted. */
  boolean tryAcquire(ServiceName service, boolean nested) {
    return budget(service).tryAcquire(nested, nodes.getAsInt(), clock.millis());
  }

  private SharedRetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new SharedRetryBudget(bounds, startMillis));
  }
}
