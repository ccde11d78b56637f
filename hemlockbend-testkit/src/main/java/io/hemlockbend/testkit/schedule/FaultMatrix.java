package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Runs a small mesh through joins, commits and a leave, injects faults at chosen steps, ends them,
 * and checks the log.
 */
public final class FaultMatrix {
  /**
   * A fault at a step.
   *
   * @param step injects the fault the first time that any node takes this step
   * @param fault the fault to inject at that node
   */
  public record InjectedFault(Step step, Fault fault) {}

  /**
   * The result of a run.
   *
   * @param violations descriptions of the violated invariants; empty when all hold
   * @param accepted number of accepted configurations
   * @param applied number of times that a node applied a configuration
   * @param injected number of faults injected
   */
  public record Result(List<String> violations, int accepted, int applied, int injected) {}

  static final MessageChannel.Conditions UNRELIABLE =
      new MessageChannel.Conditions(1_500, 8_000, 4_000, 20, 20);
  private static final MeshLayout LAYOUT = new MeshLayout(9, 3, 2);
  private static final int SERVICES = 4;
  private static final long SETTLED_MILLIS = 8_000;
  private static final long FAULTS_END_MILLIS = 26_000;
  private static final long END_MILLIS = 48_000;
  private static final long COMMIT_INTERVAL_MILLIS = 1_700;
  private static final long OBSERVATION_INTERVAL_MILLIS = 250;

  private final ScheduledMesh mesh;
  private final List<InjectedFault> pending;
  private final Map<Step, Integer> injectedPerStep = new HashMap<>();
  private boolean injecting;

  private FaultMatrix(
      List<InjectedFault> faults,
      DistributionSettings settings,
      BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
      long seed) {
    this.pending = new ArrayList<>(faults);
    this.mesh =
        new ScheduledMesh(
            new ScheduledMesh.Options(LAYOUT, UNRELIABLE, settings, SERVICES, true, seed),
            effects,
            this::onStep);
  }

  /** Runs the unmodified core with these faults. */
  public static Result run(List<InjectedFault> faults, long seed) {
    return run(faults, DistributionSettings.DEFAULT, (node, effects) -> effects, seed);
  }

  /** Runs the core with settings or an effect filter that may break it. */
  static Result run(
      List<InjectedFault> faults,
      DistributionSettings settings,
      BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
      long seed) {
    return new FaultMatrix(faults, settings, effects, seed).run();
  }

  private Result run() {
    EventQueue queue = mesh.queue();
    MeshNode joiner = mesh.nodes().getLast();
    mesh.nodes().stream().filter(node -> node != joiner).forEach(mesh::start);
    queue.runUntilMillis(SETTLED_MILLIS / 2);
    commitRegularly();
    queue.runUntilMillis(SETTLED_MILLIS);
    injecting = true;
    queue.afterMillis(500, () -> mesh.start(joiner));
    queue.afterMillis(4_000, () -> mesh.leave(mesh.nodes().get(LAYOUT.nodes() / 2)));
    queue.runUntilMillis(FAULTS_END_MILLIS);
    injecting = false;
    mesh.endFaults();
    observeRegularly();
    queue.runUntilMillis(END_MILLIS);
    return result();
  }

  private void commitRegularly() {
    mesh.commit();
    mesh.queue().afterMillis(COMMIT_INTERVAL_MILLIS, this::commitRegularly);
  }

  private void observeRegularly() {
    mesh.observe();
    mesh.queue().afterMillis(OBSERVATION_INTERVAL_MILLIS, this::observeRegularly);
  }

  private void onStep(Step step, MeshNode node) {
    if (!injecting) {
      return;
    }
    List<InjectedFault> due = pending.stream().filter(fault -> fault.step() == step).toList();
    if (!due.isEmpty()) {
      InjectedFault next = due.getFirst();
      pending.remove(next);
      injectedPerStep.merge(step, 1, Integer::sum);
      mesh.inject(next.fault(), node);
    }
  }

  private Result result() {
    List<String> violations = new ArrayList<>();
    for (MeshCheck check : MeshCheck.all(mesh.digester())) {
      check.violations(mesh.log()).stream()
          .map(violation -> check.getClass().getSimpleName() + ": " + violation)
          .forEach(violations::add);
    }
    violations.addAll(unfinished());
    int injected = injectedPerStep.values().stream().mapToInt(Integer::intValue).sum();
    return new Result(
        violations, mesh.log().accepted().size(), mesh.log().applied().size(), injected);
  }

  /** Returns the nodes that do not serve at the end although all faults have ended. */
  private List<String> unfinished() {
    List<String> found = new ArrayList<>();
    for (MeshNode node : mesh.nodes()) {
      if (node.up() && !node.serves()) {
        found.add("Unfinished: " + node.id() + " does not serve at the end");
      }
    }
    if (mesh.table().current().isEmpty()) {
      found.add("Unfinished: no configuration was accepted");
    }
    return found;
  }
}
