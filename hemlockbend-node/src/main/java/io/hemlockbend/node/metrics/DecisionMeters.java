package io.hemlockbend.node.metrics;

import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.node.log.DecisionListener;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Counts decisions as {@code hemlockbend_decisions_total} by kind, refusal and reason of refusal.
 */
public final class DecisionMeters implements DecisionListener {
  private static final String NO_REASON = "none";

  private record Key(DecisionKind kind, String reason) {}

  private final MeterRegistry registry;
  private final ConcurrentMap<Key, Counter> counters = new ConcurrentHashMap<>();

  /**
   * Creates the meters.
   *
   * @param registry the registry of the counters
   */
  public DecisionMeters(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void decided(DecisionRecord decision) {
    // Reasons of these kinds are free text; as labels they would give unbounded time series.
    boolean freeText =
        decision.kind() == DecisionKind.PLACE || decision.kind() == DecisionKind.APPLY;
    String reason = decision.refused() && !freeText ? decision.reason() : NO_REASON;
    counters
        .computeIfAbsent(new Key(decision.kind(), reason), key -> counter(key, decision.refused()))
        .increment();
  }

  private Counter counter(Key key, boolean refused) {
    return Counter.builder("hemlockbend.decisions")
        .description("Decisions by kind; refused ones by reason")
        .tag("kind", key.kind().name().toLowerCase(Locale.ROOT))
        .tag("refused", Boolean.toString(refused))
        .tag("reason", key.reason())
        .register(registry);
  }
}
