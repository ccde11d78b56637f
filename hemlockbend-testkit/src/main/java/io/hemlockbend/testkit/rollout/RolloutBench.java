package io.hemlockbend.testkit.rollout;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the rollout decisions against the naive baseline over seeded moves in virtual time.
 * Prints one row for each kind of badness and trouble; a ratio compares the baseline with
 * hemlockbend in the same run, over the same seeds.
 */
@Command(name = "rollout-bench", description = "Measures moves in virtual time.")
public final class RolloutBench implements Callable<Integer> {
  private static final long FIRST_SEED = 1;

  @Option(names = "--good-seeds", description = "Good moves for each trouble.")
  private int goodSeeds = 1000;

  @Option(names = "--bad-seeds", description = "Bad moves for each badness and trouble.")
  private int badSeeds = 100;

  @Option(names = "--calls-per-second", description = "Calls that the service gets.")
  private double callsPerSecond = 100;

  /**
   * Runs the bench.
   *
   * @param args see the options
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new RolloutBench()).execute(args));
  }

  @Override
  public Integer call() {
    System.out.println("Good moves: false condemnations and late moves, hemlockbend | naive");
    for (Trouble trouble : Trouble.values()) {
      printGood(trouble);
    }
    System.out.println();
    System.out.println(
        "Bad moves, hemlockbend | naive: moves; left unstopped; calls that the version got from its"
            + " first bad one on and calls that its badness harmed, permille of all calls, mean"
            + " (naive / hemlockbend); seconds from the first bad call to the last of the version,"
            + " p50 p99 max");
    for (Badness badness : Badness.values()) {
      if (badness != Badness.NONE) {
        printBad(badness, Trouble.CALM);
      }
    }
    for (Trouble trouble : Trouble.values()) {
      if (trouble != Trouble.CALM && trouble != Trouble.SCARCE_TRAFFIC) {
        printBad(Badness.LATE, trouble);
      }
    }
    System.out.println();
    EvidenceCost.print();
    return 0;
  }

  private void printGood(Trouble trouble) {
    List<MoveResult> ours = runs(goodSeeds, Badness.NONE, trouble, false);
    List<MoveResult> naive = runs(goodSeeds, Badness.NONE, trouble, true);
    System.out.printf(
        Locale.ROOT,
        "%-15s moves %5d  condemned %4d | %4d  late %4d | %4d  finished at p99 %.2f of the time%n",
        trouble,
        goodSeeds,
        condemned(ours),
        condemned(naive),
        late(ours),
        late(naive),
        quantile(ours.stream().mapToLong(MoveResult::finishedMillis), 0.99)
            / (double) MoveRun.MOVE_MILLIS);
  }

  private void printBad(Badness badness, Trouble trouble) {
    List<MoveResult> ours = runs(badSeeds, badness, trouble, false);
    List<MoveResult> naive = runs(badSeeds, badness, trouble, true);
    System.out.printf(
        Locale.ROOT,
        "%-11s %-14s %5d  left %3d | %3d  got %6.2f | %6.2f  harmed %6.2f | %6.2f (x %5.1f)"
            + "  seconds %s | %s%n",
        badness,
        trouble,
        badSeeds,
        unstopped(ours),
        unstopped(naive),
        permille(ours, MoveResult::freshCalls),
        permille(naive, MoveResult::freshCalls),
        permille(ours, MoveResult::harmedCalls),
        permille(naive, MoveResult::harmedCalls),
        permille(naive, MoveResult::harmedCalls) / permille(ours, MoveResult::harmedCalls),
        seconds(ours),
        seconds(naive));
  }

  private List<MoveResult> runs(int seeds, Badness badness, Trouble trouble, boolean naive) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
        .parallel()
        .mapToObj(seed -> new Scenario(seed, badness, trouble, callsPerSecond))
        .map(scenario -> MoveRun.run(scenario, naive))
        .toList();
  }

  private static long condemned(List<MoveResult> results) {
    return results.stream().filter(result -> result.takenBackMillis() >= 0).count();
  }

  private static long late(List<MoveResult> results) {
    return results.stream()
        .filter(result -> result.takenBackMillis() < 0 && !onTime(result))
        .count();
  }

  private static boolean onTime(MoveResult result) {
    return result.finishedMillis() >= 0 && result.finishedMillis() <= MoveRun.MOVE_MILLIS;
  }

  private static long unstopped(List<MoveResult> results) {
    return results.stream().filter(result -> result.takenBackMillis() < 0).count();
  }

  private static double permille(List<MoveResult> results, ToLongFunction<MoveResult> part) {
    return results.stream()
        .mapToDouble(result -> 1000.0 * part.applyAsLong(result) / result.calls())
        .average()
        .orElse(0);
  }

  private static String seconds(List<MoveResult> results) {
    return String.format(
        Locale.ROOT,
        "%6.1f %6.1f %6.1f",
        quantile(results.stream().mapToLong(MoveResult::noneMillis), 0.5) / 1000.0,
        quantile(results.stream().mapToLong(MoveResult::noneMillis), 0.99) / 1000.0,
        quantile(results.stream().mapToLong(MoveResult::noneMillis), 1) / 1000.0);
  }

  private static long quantile(LongStream values, double part) {
    long[] sorted = values.filter(value -> value >= 0).sorted().toArray();
    return sorted.length == 0
        ? 0
        : sorted[(int) Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
  }
}
