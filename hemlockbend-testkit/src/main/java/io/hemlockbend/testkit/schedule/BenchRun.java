package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.ConfigurationVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Benchmark run at one mesh size: start and settling, then an idle, a churn and a change phase. */
final class BenchRun {
  static final String MESH = "mesh";
  static final String BASELINE = "polling";

  private static final long SETTLE_MILLIS = 60_000;
  private static final long CHANGES_PER_DAY = 7_000;
  private static final long RESTARTS_PER_DAY = 3_100;
  private static final int RESTARTS = 3;
  private static final long DAY_MILLIS = 86_400_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;

  private record Snapshot(long bytes, long reads, long writes, long nanos, long atMillis) {}

  private final int size;
  private final int changes;
  private final long idleMillis;
  private final ScheduledMesh mesh;
  private final PollingBaseline baseline;
  private final SplittableRandom random;

  BenchRun(ScheduledMesh.Options options, int changes, long idleMillis) {
    this.size = options.layout().nodes();
    this.changes = changes;
    this.idleMillis = idleMillis;
    this.mesh = new ScheduledMesh(options, (node, effects) -> effects, (step, node) -> {});
    this.baseline = new PollingBaseline(mesh.queue(), mesh.table(), mesh.digester());
    this.random = new SplittableRandom(options.seed());
    mesh.nodes().forEach(mesh::start);
  }

  /** Starts all nodes at once and returns a summary of the start-up times and table reads. */
  String startAllNodes() {
    EventQueue queue = mesh.queue();
    long maxReads = 0;
    long serveMillis = -1;
    long membershipMillis = -1;
    while (queue.millis() < SETTLE_MILLIS) {
      long before = mesh.table().reads();
      queue.runUntilMillis(queue.millis() + (long) MILLIS_PER_SECOND);
      maxReads = Math.max(maxReads, mesh.table().reads() - before);
      serveMillis = serveMillis < 0 && allNodesServe() ? queue.millis() : serveMillis;
      membershipMillis =
          membershipMillis < 0 && membershipComplete() ? queue.millis() : membershipMillis;
      if (queue.millis() == SETTLE_MILLIS / 2) {
        mesh.commit();
        baseline.start(mesh.nodes(), random);
      }
    }
    if (serveMillis < 0 || membershipMillis < 0) {
      throw new IllegalStateException("mesh did not settle within " + SETTLE_MILLIS + " ms");
    }
    return String.format(
        "%n%d nodes started at once: all serving within %d ms, membership complete within %d ms,"
            + " at most %d reads per second%n",
        size, serveMillis, membershipMillis, maxReads);
  }

  private boolean allNodesServe() {
    return mesh.nodes().stream().allMatch(MeshNode::serves);
  }

  private boolean membershipComplete() {
    return mesh.nodes().stream().allMatch(node -> node.membership().members().size() == size);
  }

  /** Measures the idle, churn and change phases, and returns one row for each method and phase. */
  List<BenchRow> measure() {
    EventQueue queue = mesh.queue();
    mesh.meter().countBytes();
    Snapshot settled = meshSnapshot();
    Snapshot settledBaseline = baselineSnapshot();
    queue.runUntilMillis(SETTLE_MILLIS + idleMillis);
    Snapshot idle = meshSnapshot();
    Snapshot idleBaseline = baselineSnapshot();
    churn();
    Snapshot churned = meshSnapshot();
    Snapshot churnedBaseline = baselineSnapshot();
    int before = mesh.log().accepted().size();
    commitChanges();
    List<BenchRow> rows = new ArrayList<>();
    rows.add(row(MESH, "idle", settled, idle, List.of(), 0));
    rows.add(row(BASELINE, "idle", settledBaseline, idleBaseline, List.of(), 0));
    rows.add(row(MESH, "churning", idle, churned, List.of(), 0));
    rows.add(changingRow(MESH, mesh.log(), churned, meshSnapshot(), before));
    rows.add(changingRow(BASELINE, baseline.log(), churnedBaseline, baselineSnapshot(), before));
    return rows;
  }

  /** Restarts nodes one at a time, at the rate of 3,100 nodes that each restart once a day. */
  private void churn() {
    EventQueue queue = mesh.queue();
    for (int restart = 0; restart < RESTARTS; restart++) {
      MeshNode node = mesh.nodes().get(random.nextInt(size));
      mesh.inject(Fault.RESTART, node);
      queue.runUntilMillis(queue.millis() + DAY_MILLIS / RESTARTS_PER_DAY);
    }
  }

  private void commitChanges() {
    EventQueue queue = mesh.queue();
    for (int change = 0; change < changes; change++) {
      mesh.commit();
      queue.runUntilMillis(queue.millis() + DAY_MILLIS / CHANGES_PER_DAY);
    }
  }

  private BenchRow changingRow(String method, RunLog log, Snapshot from, Snapshot to, int before) {
    Map<ConfigurationVersion, Long> accepted = new HashMap<>();
    mesh.log().accepted().stream()
        .skip(before)
        .forEach(row -> accepted.put(row.mark().version(), row.atMillis()));
    List<Long> convergence = new ArrayList<>();
    for (RunLog.Applied applied : log.applied()) {
      Long at = accepted.get(applied.mark().version());
      if (at != null) {
        convergence.add(applied.atMillis() - at);
      }
    }
    convergence.sort(null);
    long missing = (long) changes * size - convergence.size();
    return row(method, "changing", from, to, convergence, missing);
  }

  private BenchRow row(
      String method,
      String phase,
      Snapshot from,
      Snapshot to,
      List<Long> convergence,
      long missing) {
    double seconds = (to.atMillis() - from.atMillis()) / MILLIS_PER_SECOND;
    double nodeSeconds = seconds * size;
    return new BenchRow(
        method,
        size,
        phase,
        convergence,
        missing,
        (to.bytes() - from.bytes()) / nodeSeconds,
        (to.reads() - from.reads()) / seconds,
        (to.writes() - from.writes()) / seconds,
        PERCENT * (to.nanos() - from.nanos()) / NANOS_PER_SECOND / nodeSeconds);
  }

  private Snapshot meshSnapshot() {
    MeshMeter meter = mesh.meter();
    return new Snapshot(
        meter.bytes(),
        mesh.table().reads(),
        mesh.table().writes(),
        meter.coreNanos(),
        mesh.queue().millis());
  }

  private Snapshot baselineSnapshot() {
    return new Snapshot(
        baseline.bytes(), baseline.reads(), 0, baseline.nanos(), mesh.queue().millis());
  }
}
