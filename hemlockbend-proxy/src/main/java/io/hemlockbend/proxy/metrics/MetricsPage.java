package io.hemlockbend.proxy.metrics;

import io.hemlockbend.proxy.loop.LoopLagMonitor;
import io.hemlockbend.proxy.mesh.EntryCounters;
import io.hemlockbend.proxy.mesh.MeshNode;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Renders the metrics of a node. The node counts in plain fields on its event loop; a snapshot is
 * taken there and rendered on another thread, so that scrapes barely slow the traffic. The registry
 * is created at the first scrape, since loading its classes would delay the start.
 */
public final class MetricsPage {
  private static final String PREFIX = "hemlockbend_";

  private PrometheusMeterRegistry registry;
  private final Set<String> registered = new HashSet<>();
  private volatile NodeSnapshot latest = NodeSnapshot.EMPTY;

  /**
   * Returns the page in the Prometheus text format. Must always be called on the same thread, other
   * than the event loop's.
   *
   * @param snapshot the values to render
   */
  public String render(NodeSnapshot snapshot) {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registerFixed();
    }
    latest = snapshot;
    snapshot.byStatus().keySet().forEach(this::registerStatus);
    snapshot.byOutcome().keySet().forEach(this::registerOutcome);
    return registry.scrape();
  }

  private void registerFixed() {
    counter("placements", "requests placed on an upstream", NodeSnapshot::placements);
    counter("upstream_connections", "connections opened to it", NodeSnapshot::connections);
    counter("log_lines_dropped", "log lines that found the queue full", NodeSnapshot::linesDropped);
    counter("store_calls", "calls of the platform's store", page -> page.store().calls());
    gauge("store_era", "how often the store was restored", page -> page.store().era());
    gauge("store_position", "the version followed", page -> page.store().position());
    gauge("store_silent_millis", "since its last response", page -> page.store().silentMillis());
    gauge("orders_version", "the operator's orders in force", NodeSnapshot::orders);
    counter(
        "loop_late_millis",
        "lateness of the loop's timers",
        snapshot -> snapshot.usage().lateMillis());
    counter("large_bodies", "bodies from other nodes", snapshot -> snapshot.usage().bodies());
    counter("large_body_bytes", "the bytes of these", snapshot -> snapshot.usage().bodyBytes());
    counter(
        "large_body_millis", "from offer to last byte", snapshot -> snapshot.usage().bodyMillis());
    gauge("heap_bytes", "the heap in use", snapshot -> snapshot.usage().heapBytes());
    gauge(
        "peer_bytes_waiting",
        "bytes to be sent to nodes",
        snapshot -> snapshot.usage().pendingBytes());
    gauge("open_requests", "callers' requests under way", NodeSnapshot::open);
    gauge("upstream_running", "requests that the upstream runs", NodeSnapshot::running);
    gauge("upstream_queued", "requests that wait for the upstream", NodeSnapshot::queued);
    gauge("upstream_limit", "how many it may run at once now", NodeSnapshot::limit);
    gauge("configuration_version", "the configuration in force", NodeSnapshot::configuration);
    gauge("peers_alive", "nodes that answer", NodeSnapshot::peersAlive);
    for (int i = 0; i <= EntryCounters.BUCKETS_MILLIS.length; i++) {
      registerBucket(i);
    }
    counter("request_millis_sum", "the sum of all latencies", NodeSnapshot::latencySumMillis);
  }

  private void registerBucket(int bucket) {
    boolean last = bucket == EntryCounters.BUCKETS_MILLIS.length;
    String bound = last ? "+Inf" : Long.toString(EntryCounters.BUCKETS_MILLIS[bucket]);
    FunctionCounter.builder(
            PREFIX + "request_millis", this, page -> page.latest.cumulativeCount(bucket))
        .tag("le", bound)
        .description("callers' requests that ended within so many milliseconds")
        .register(registry);
  }

  private void registerStatus(int status) {
    if (registered.add("status" + status)) {
      FunctionCounter.builder(
              PREFIX + "requests", this, page -> page.latest.byStatus().getOrDefault(status, 0L))
          .tag("status", Integer.toString(status))
          .description("callers' requests that ended, by status; 0 when the caller left")
          .register(registry);
    }
  }

  private void registerOutcome(String outcome) {
    if (registered.add("outcome" + outcome)) {
      FunctionCounter.builder(
              PREFIX + "outcomes", this, page -> page.latest.byOutcome().getOrDefault(outcome, 0L))
          .tag("outcome", outcome)
          .description("callers' requests that ended, by what decided it")
          .register(registry);
    }
  }

  private void counter(String name, String description, ToDoubleFunction<NodeSnapshot> value) {
    FunctionCounter.builder(PREFIX + name, this, page -> value.applyAsDouble(page.latest))
        .description(description)
        .register(registry);
  }

  private void gauge(String name, String description, ToDoubleFunction<NodeSnapshot> value) {
    Gauge.builder(PREFIX + name, this, page -> value.applyAsDouble(page.latest))
        .description(description)
        .register(registry);
  }

  /**
   * Takes a snapshot of a node; called on its event loop.
   *
   * @param node the node
   * @param lagMonitor measures the lateness of its event loop
   * @param store what it knows of the platform's store
   * @param linesDropped how many log lines were dropped
   */
  public static NodeSnapshot snapshot(
      MeshNode node, LoopLagMonitor lagMonitor, StoreProgress store, long linesDropped) {
    EntryCounters counters = node.entry().counters();
    return new NodeSnapshot(
        Map.copyOf(counters.byStatus()),
        Map.copyOf(counters.byOutcome()),
        counters.latency(),
        counters.latencySumMillis(),
        counters.placements(),
        node.upstream().connectionsOpened(),
        node.entry().open(),
        node.load().running(),
        node.load().queued(),
        node.load().limit(),
        node.configuration() == null ? -1 : node.configuration().version(),
        node.mesh().aliveCount(),
        node.orders().version().number(),
        store,
        linesDropped,
        ProcessUsage.of(lagMonitor, node.mesh()));
  }
}
