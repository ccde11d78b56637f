package io.hemlockbend.testkit.demo;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.testkit.load.CallTemplate;
import io.hemlockbend.testkit.load.LoadPlan;
import io.hemlockbend.testkit.load.LoadReport;
import io.hemlockbend.testkit.load.LoadTool;
import io.hemlockbend.testkit.mesh.EmbeddedMesh;
import io.hemlockbend.testkit.mesh.EmbeddedUpstream;
import io.hemlockbend.testkit.mesh.UpstreamSpec;
import io.hemlockbend.testkit.upstream.UpstreamFaults;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;

/**
 * Demonstrates a mesh on embedded stand-ins while callers send requests: a good version is moved to
 * before its deadline, a bad one is taken back automatically, and a failure domain is withdrawn and
 * restored.
 */
public final class MeshDemo {
  private static final int RATE_PER_SECOND = 60;
  private static final long LOAD_MILLIS = 75_000;
  private static final long CALL_TIMEOUT_MILLIS = 5_000;
  private static final int PHOTO_BYTES = 200_000;
  private static final long WAIT_TIMEOUT_MILLIS = 90_000;
  private static final long POLL_MILLIS = 50;
  private static final int BAD_FAILURE_PERMILLE = 800;
  private static final int SLOTS = 10;
  private static final long SERVICE_MILLIS = 2;

  private MeshDemo() {}

  /**
   * Runs the demonstration, which takes about a minute and a half.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    System.out.println(
        "Starting a platform, 6 upstreams in 2 failure domains and a node beside each");
    try (EmbeddedMesh mesh = EmbeddedMesh.start(specs(), DemoOperator.GRANT, 1)) {
      waitFor("every node to know every upstream", mesh::settled);
      DemoOperator operator = new DemoOperator(mesh);
      configure(operator);
      CompletableFuture<LoadReport> load = CompletableFuture.supplyAsync(() -> load(mesh));
      runMoves(mesh, operator);
      withdrawAndRestore(operator);
      report(mesh, operator, load.join());
    }
    System.exit(0);
  }

  private static List<UpstreamSpec> specs() {
    return List.of(
        spec("quotes-1", "tunis", "quotes", "v1"),
        spec("quotes-2", "sfax", "quotes", "v1"),
        spec("quotes-3", "tunis", "quotes", "v2"),
        spec("quotes-4", "sfax", "quotes", "v2"),
        spec("orders-1", "tunis", "orders", "v1"),
        spec("orders-2", "tunis", "orders", "v2"));
  }

  private static UpstreamSpec spec(String name, String domain, String service, String version) {
    return new UpstreamSpec(name, domain, service, version, SLOTS, SERVICE_MILLIS);
  }

  private static void configure(DemoOperator operator) {
    for (String service : List.of("quotes", "orders")) {
      operator.run("stage", "version", service, "v1", "--owner", "shop");
      operator.run("stage", "version", service, "v2", "--owner", "shop");
      operator.run("stage", "route", service, "--path", "/" + service, "--service", service);
    }
    operator.show("diff");
    long startNanos = System.nanoTime();
    operator.show("commit", "--wait");
    System.out.printf(
        Locale.ROOT,
        "In force on every node %.2f s after the command started%n",
        seconds(startNanos));
  }

  private static LoadReport load(EmbeddedMesh mesh) {
    LoadPlan plan =
        new LoadPlan(
            mesh.entries(),
            RATE_PER_SECOND,
            LOAD_MILLIS,
            CALL_TIMEOUT_MILLIS,
            PHOTO_BYTES,
            List.of(
                CallTemplate.parse("get:/quotes/list:10"),
                CallTemplate.parse("post:/quotes/accept:3"),
                CallTemplate.parse("photo:/quotes/photo:1"),
                CallTemplate.parse("get:/orders/list:6")),
            1);
    try {
      return LoadTool.run(plan, call -> {});
    } catch (Exception e) {
      throw new CompletionException(e);
    }
  }

  private static void runMoves(EmbeddedMesh mesh, DemoOperator operator) {
    mesh.members().stream()
        .filter(member -> member.spec().name().equals("orders-2"))
        .map(EmbeddedUpstream::upstream)
        .forEach(upstream -> upstream.faults(UpstreamFaults.failing(BAD_FAILURE_PERMILLE, "/")));
    System.out.println("orders v2 is bad: it fails 4 of 5 requests");
    operator.show("move", "orders", "v2", "--deadline", "60s", "--commit");
    long ordersStartNanos = System.nanoTime();
    operator.show("move", "quotes", "v2", "--deadline", "60s", "--commit");
    long quotesStartNanos = System.nanoTime();
    waitFor("orders v2 to be taken back", () -> !configuration(mesh).usable(key("orders", "v2")));
    System.out.printf(
        Locale.ROOT, "orders v2 was taken back after %.1f s%n", seconds(ordersStartNanos));
    waitFor("quotes v2 to be active", () -> active(mesh, "quotes").equals("v2"));
    System.out.printf(
        Locale.ROOT, "quotes v2 has all traffic after %.1f s of 60%n", seconds(quotesStartNanos));
  }

  private static void withdrawAndRestore(DemoOperator operator) {
    operator.show("withdraw", "sfax", "--commit", "--wait");
    operator.show("restore", "sfax", "--ramp", "5s", "--commit", "--wait");
  }

  private static void report(EmbeddedMesh mesh, DemoOperator operator, LoadReport load) {
    operator.show("history");
    operator.show("show");
    long repeatedKeys =
        mesh.members().stream().mapToLong(member -> member.ledger().keysRun(2).size()).sum();
    System.out.printf(
        Locale.ROOT,
        "Callers: %d calls, %d whole answers (%.2f %%), %d wrong or short; %d requests ran twice%n",
        load.calls(),
        load.whole(),
        load.successShare() * 100,
        load.wrong(),
        repeatedKeys);
  }

  private static Configuration configuration(EmbeddedMesh mesh) {
    return mesh.members().getFirst().node().snapshot().configuration();
  }

  private static String active(EmbeddedMesh mesh, String service) {
    return configuration(mesh).services().get(new ServiceName(service)).active().value();
  }

  private static VersionKey key(String service, String version) {
    return new VersionKey(new ServiceName(service), new VersionName(version));
  }

  private static double seconds(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private static void waitFor(String what, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + WAIT_TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new IllegalStateException(
            "timed out after " + WAIT_TIMEOUT_MILLIS + " ms waiting for " + what);
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
