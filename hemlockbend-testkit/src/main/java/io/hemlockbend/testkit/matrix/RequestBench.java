package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.AdmissionSettings;
import java.util.List;
import java.util.function.Consumer;

/**
 * Compares the core with round robin and one unconditional retry, in virtual time under the same
 * load: answered share, latency, double runs, false "not run", overrun of upstreams and goodput.
 */
public final class RequestBench {
  private record Scenario(String name, double load, Consumer<Mesh> fault) {}

  private static final Policies CORE =
      new Policies() {
        @Override
        public AdmissionSettings admission(int slots) {
          return AdmissionSettings.of(slots);
        }
      };

  private static final Policies ROUND_ROBIN =
      new Policies() {
        @Override
        public Entry entry(Mesh mesh, EntryModel entry) {
          return new RoundRobinEntry(mesh);
        }
      };

  private static final long FAULT_AT_MILLIS = 12_000;
  private static final long FREEZE_MILLIS = 5_000;
  private static final long OUTAGE_MILLIS = 8_000;
  private static final long SETTLE_MILLIS = 5_000;
  private static final double FAULT_LOAD = 0.6;

  private static final List<Scenario> SCENARIOS =
      List.of(
          new Scenario("load 0.5", 0.5, mesh -> {}),
          new Scenario("load 1", 1, mesh -> {}),
          new Scenario("load 1.5", 1.5, mesh -> {}),
          new Scenario("load 2", 2, mesh -> {}),
          new Scenario("kill", FAULT_LOAD, mesh -> first(mesh).upstream.kill()),
          new Scenario("kill at 1", 1, mesh -> first(mesh).upstream.kill()),
          new Scenario("freeze", FAULT_LOAD, mesh -> first(mesh).upstream.freeze(FREEZE_MILLIS)),
          new Scenario("cold", FAULT_LOAD, mesh -> first(mesh).upstream.resetToCold()),
          new Scenario("all cold", FAULT_LOAD, RequestBench::allCold),
          new Scenario("drain", FAULT_LOAD, mesh -> first(mesh).drain()),
          new Scenario("outage", FAULT_LOAD, RequestBench::outage));

  private RequestBench() {}

  /**
   * Prints one row for each scenario and policy.
   *
   * @param args the seed; 1 by default
   */
  public static void main(String[] args) {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    System.out.println("seed " + seed + ", " + Sizes.BENCH);
    System.out.println(BenchResult.HEADER);
    for (Scenario scenario : SCENARIOS) {
      System.out.println(row(scenario, "core", run(scenario, seed, CORE)));
      System.out.println(row(scenario, "round robin", run(scenario, seed, ROUND_ROBIN)));
    }
  }

  private static String row(Scenario scenario, String policy, BenchResult result) {
    return String.format("%-9s %-11s %s", scenario.name(), policy, result);
  }

  private static BenchResult run(Scenario scenario, long seed, Policies policies) {
    Sizes sizes = Sizes.BENCH.atLoad(scenario.load());
    Mesh mesh = new Mesh(seed, sizes, policies, FaultPlan.none());
    mesh.callers().start();
    mesh.queue().schedule(FAULT_AT_MILLIS, () -> scenario.fault().accept(mesh));
    mesh.queue().runUntil(sizes.endMillis() + SETTLE_MILLIS);
    return BenchResult.of(mesh.trace(), sizes);
  }

  private static NodeModel first(Mesh mesh) {
    return mesh.nodes().getFirst();
  }

  private static void allCold(Mesh mesh) {
    mesh.nodes().forEach(node -> node.upstream.resetToCold());
  }

  private static void outage(Mesh mesh) {
    mesh.table().mode(FakeTable.Mode.DOWN);
    mesh.queue().schedule(OUTAGE_MILLIS, () -> mesh.table().mode(FakeTable.Mode.UP));
  }
}
