package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Runs a small mesh through joins, commits and a leave, puts faults on chosen steps, ends them, and
 * checks the log.
 */
public final class FaultMatrix {
  /**
   * A fault at a step.
   *
   * @param step when it strikes: the first time that a node takes this step
   * @param fault what strikes that node
   */
  public record Strike(Step step, Fault fault) {}

  /**
   * What a run came to.
   *
   * @param violations what did not hold
   * @param accepted how many configurations were accepted
   * @param applied how many times nodes applied one
   * @param struck how many strikes took place
   */
  public record Result(List<String> violations, int accepted, int applied, int struck) {}

  static final MessageChannel.Conditions ROUGH =
      new MessageChannel.Conditions(1_500, 8_000, 4_000, 20, 20);
  private static final MeshLayout LAYOUT = new MeshLayout(9, 3, 2);
  private static final int SERVICES = 4;
  private static final long SETTLED_MILLIS = 8_000;
  private static final long FAULTS_END_MILLIS = 26_000;
  private static final long END_MILLIS = 48_000;
  private static final long COMMIT_INTERVAL_MILLIS = 1_700;
  private static final long LOOK_INTERVAL_MILLIS = 250;

  private final ScheduledMesh mesh;
  private final List<Strike> waiting;
  private final Map<Step, Integer> seen = new HashMap<>();
  private boolean armed;

  private FaultMatrix(
      List<Strike> strikes,
      DistributionSettings settings,
      BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
      long seed) {
    this.waiting = new ArrayList<>(strikes);
    this.mesh =
        new ScheduledMesh(
            new ScheduledMesh.Options(LAYOUT, ROUGH, settings, SERVICES, true, seed),
            effects,
            this::stepped);
  }

  /** Runs the true core with these faults. */
  public static Result run(List<Strike> strikes, long seed) {
    return run(strikes, DistributionSettings.DEFAULT, (node, effects) -> effects, seed);
  }

  /** Runs a core that may be broken by its settings or by a change of its effects. */
  static Result run(
      List<Strike> strikes,
      DistributionSettings settings,
      BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
      long seed) {
    return new FaultMatrix(strikes, settings, effects, seed).run();
  }

  private Result run() {
    EventQueue queue = mesh.queue();
    MeshNode joiner = mesh.nodes().getLast();
    mesh.nodes().stream().filter(node -> node != joiner).forEach(mesh::start);
    queue.runUntilMillis(SETTLED_MILLIS / 2);
    commitRegularly();
    queue.runUntilMillis(SETTLED_MILLIS);
    armed = true;
    queue.afterMillis(500, () -> mesh.start(joiner));
    queue.afterMillis(4_000, () -> mesh.leave(mesh.nodes().get(LAYOUT.nodes() / 2)));
    queue.runUntilMillis(FAULTS_END_MILLIS);
    armed = false;
    mesh.endFaults();
    lookRegularly();
    queue.runUntilMillis(END_MILLIS);
    return result();
  }

  private void commitRegularly() {
    mesh.commit();
    mesh.queue().afterMillis(COMMIT_INTERVAL_MILLIS, this::commitRegularly);
  }

  private void lookRegularly() {
    mesh.look();
    mesh.queue().afterMillis(LOOK_INTERVAL_MILLIS, this::lookRegularly);
  }

  private void stepped(Step step, MeshNode node) {
    if (!armed) {
      return;
    }
    List<Strike> due = waiting.stream().filter(strike -> strike.step() == step).toList();
    if (!due.isEmpty()) {
      Strike strike = due.getFirst();
      waiting.remove(strike);
      seen.merge(step, 1, Integer::sum);
      mesh.strike(strike.fault(), node);
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
    int struck = seen.values().stream().mapToInt(Integer::intValue).sum();
    return new Result(
        violations, mesh.log().accepted().size(), mesh.log().applied().size(), struck);
  }

  /** Returns the nodes that do not serve at the end although no fault is left. */
  private List<String> unfinished() {
    List<String> found = new ArrayList<>();
    for (MeshNode node : mesh.nodes()) {
      if (node.up() && !node.serves()) {
        found.add("Unfinished: " + node.id() + " does not serve at the end");
      }
    }
    if (mesh.table().current().isEmpty()) {
      found.add("Unfinished: nothing was accepted");
    }
    return found;
  }
}
