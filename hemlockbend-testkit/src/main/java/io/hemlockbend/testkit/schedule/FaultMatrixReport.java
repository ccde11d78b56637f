package io.hemlockbend.testkit.schedule;

import io.hemlockbend.testkit.schedule.FaultMatrix.InjectedFault;
import io.hemlockbend.testkit.schedule.FaultMatrix.Result;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs every fault at every step, and every pair of these, with several seeds and prints the
 * counts.
 */
@Command(name = "fault-matrix", mixinStandardHelpOptions = true)
public final class FaultMatrixReport implements Callable<Integer> {
  /**
   * One run.
   *
   * @param faults the faults to inject
   * @param seed seed of the random generator
   * @param result the result
   */
  record Run(List<InjectedFault> faults, long seed, Result result) {
    private static Run of(List<InjectedFault> faults, long seed) {
      return new Run(faults, seed, FaultMatrix.run(faults, seed));
    }

    List<String> violations() {
      return result.violations().stream()
          .map(text -> faults + " seed " + seed + ": " + text)
          .toList();
    }
  }

  @Option(names = "--first-seed", description = "first seed", defaultValue = "1")
  private long firstSeed;

  @Option(names = "--seeds", description = "seeds of each single fault", defaultValue = "5")
  private int seeds;

  @Option(names = "--pair-seeds", description = "seeds of each pair", defaultValue = "1")
  private int pairSeeds;

  private FaultMatrixReport() {}

  /** Runs the matrix and exits with 0, or with 1 when an invariant was violated. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new FaultMatrixReport()).execute(args));
  }

  @Override
  public Integer call() {
    List<Run> singles = singles(firstSeed, seeds);
    List<Run> pairs = pairs(firstSeed, pairSeeds);
    System.out.println(table(singles, pairs));
    System.out.println(summary("single faults", singles));
    System.out.println(summary("pairs", pairs));
    List<String> violations = new ArrayList<>(violations(singles));
    violations.addAll(violations(pairs));
    violations.forEach(System.out::println);
    return violations.isEmpty() ? 0 : 1;
  }

  /** Runs every fault at every step. */
  static List<Run> singles(long firstSeed, int seeds) {
    return run(allFaults().stream().map(List::of).toList(), firstSeed, seeds);
  }

  /** Runs every pair of faults at steps, including the same fault twice at the same step. */
  static List<Run> pairs(long firstSeed, int seeds) {
    List<InjectedFault> all = allFaults();
    List<List<InjectedFault>> pairs = new ArrayList<>();
    for (int first = 0; first < all.size(); first++) {
      for (int second = first; second < all.size(); second++) {
        pairs.add(List.of(all.get(first), all.get(second)));
      }
    }
    return run(pairs, firstSeed, seeds);
  }

  static List<String> violations(List<Run> runs) {
    return runs.stream().flatMap(run -> run.violations().stream()).toList();
  }

  static String summary(String name, List<Run> runs) {
    return "%s: %d runs, %d faults injected, %d accepted, %d applied, %d violations"
        .formatted(
            name,
            runs.size(),
            runs.stream().mapToInt(run -> run.result().injected()).sum(),
            runs.stream().mapToInt(run -> run.result().accepted()).sum(),
            runs.stream().mapToInt(run -> run.result().applied()).sum(),
            violations(runs).size());
  }

  private static List<InjectedFault> allFaults() {
    return Arrays.stream(Step.values())
        .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> new InjectedFault(step, fault)))
        .toList();
  }

  private static List<Run> run(List<List<InjectedFault>> faultLists, long firstSeed, int seeds) {
    return faultLists.parallelStream()
        .flatMap(
            faults ->
                LongStream.range(firstSeed, firstSeed + seeds)
                    .mapToObj(seed -> Run.of(faults, seed)))
        .toList();
  }

  private static String table(List<Run> singles, List<Run> pairs) {
    StringBuilder text = new StringBuilder("| fault |");
    StringBuilder rule = new StringBuilder("|---|");
    for (Step step : Step.values()) {
      text.append(' ').append(step).append(" |");
      rule.append("---|");
    }
    text.append('\n').append(rule);
    for (Fault fault : Fault.values()) {
      text.append("\n| ").append(fault).append(" | ").append(row(fault, singles, pairs));
    }
    return text.append("\n\nEach cell: runs alone, runs in a pair, violations.\n").toString();
  }

  private static String row(Fault fault, List<Run> singles, List<Run> pairs) {
    return Arrays.stream(Step.values())
        .map(step -> cell(new InjectedFault(step, fault), singles, pairs))
        .collect(Collectors.joining(" | ", "", " |"));
  }

  private static String cell(InjectedFault fault, List<Run> singles, List<Run> pairs) {
    List<Run> alone = singles.stream().filter(run -> run.faults().contains(fault)).toList();
    List<Run> paired = pairs.stream().filter(run -> run.faults().contains(fault)).toList();
    int violations = violations(alone).size() + violations(paired).size();
    return alone.size() + ", " + paired.size() + ", " + violations;
  }
}
