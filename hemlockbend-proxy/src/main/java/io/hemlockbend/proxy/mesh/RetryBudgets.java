package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.proxy.loop.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** This node's part of the retries that all nodes together may send to each service. */
final class RetryBudgets {
  /** The part of the stated budget that is used: the nodes' windows do not coincide. */
  private static final double USED_SHARE = 0.5;

  /** The part of a window's slack that may be saved up and used at once, beside the floor. */
  private static final double SAVED_SHARE = 0.5;

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

  void called(ServiceName service) {
    budget(service).recordCall();
  }

  boolean take(ServiceName service) {
    return budget(service).tryAcquire(loop.millis());
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> make());
  }

  private RetryBudget make() {
    double perSecond = settings.retrySlack() / (settings.retryWindowMillis() / MILLIS_PER_SECOND);
    double floor = USED_SHARE * perSecond / Math.max(1, nodes.getAsInt());
    double saved = SAVED_SHARE * settings.retrySlack() / Math.max(1, nodes.getAsInt());
    return new RetryBudget(USED_SHARE * settings.retryShare(), floor, saved, loop.millis());
  }
}
