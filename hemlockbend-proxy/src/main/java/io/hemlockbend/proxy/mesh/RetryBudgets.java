package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.proxy.loop.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** This node's share of the retry budget that all nodes together have for each service. */
final class RetryBudgets {
  /** The share of the configured budget in use, because the nodes' windows do not coincide. */
  private static final double USED_SHARE = 0.5;

  /** The share of a window's slack that may accumulate for a burst, in addition to the floor. */
  private static final double BURST_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1000;

  private final EventLoop loop;
  private final EntrySettings settings;
  private final IntSupplier nodes;
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

  RetryBudgets(EventLoop loop, EntrySettings settings, IntSupplier nodes) {
    this.loop = loop;
    this.settings = settings;
    this.nodes = nodes;
  }

  void recordCall(ServiceName service) {
    budget(service).recordCall();
  }

  boolean tryAcquire(ServiceName service) {
    return budget(service).tryAcquire(loop.millis());
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> create());
  }

  private RetryBudget create() {
    double perSecond = settings.retrySlack() / (settings.retryWindowMillis() / MILLIS_PER_SECOND);
    double floor = USED_SHARE * perSecond / Math.max(1, nodes.getAsInt());
    double burst = BURST_SHARE * settings.retrySlack() / Math.max(1, nodes.getAsInt());
    return new RetryBudget(USED_SHARE * settings.retryShare(), floor, burst, loop.millis());
  }
}
