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
 * Compares the rollout decisions with the naive baseline over seeded moves in virtual time. Prints
 * one row for each defect and disturbance; ratios are between the baseline and hemlockbend, over
 * the same seeds in the same run.
 */
@Command(name = "rollout-bench", description = "Measures moves in virtual time.")
public final class RolloutBench implements Callable<Integer> {
  private static final long FIRST_SEED = 1;

  @Option(names = "--good-seeds", description = "Good moves for each disturbance.")
  private int goodSeeds = 1000;

  @Option(names = "--bad-seeds", description = "Bad moves for each defect and disturbance.")
  private int badSeeds = 100;

  @Option(names = "--calls-per-second", description = "Calls that the service gets.")
  private double callsPerSecond = 100;

  /**
   * Runs the bench.
   *
   * @param args the command-line options
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new RolloutBench()).execute(args));
  }

  @Override
  public Integer call() {
    System.out.println("Good moves: false take-backs and late moves, hemlockbend | naive");
    for (Disturbance disturbance : Disturbance.values()) {
      printGood(disturbance);
    }
    System.out.println();
    System.out.println(
        "Bad moves, hemlockbend | naive: moves; left unstopped; calls that the version got since"
            + " the first affected one and calls that its defect harmed, permille of all calls,"
            + " mean (naive / hemlockbend); seconds from the first affected call to the last of the"
            + " version, p50 p99 max");
    for (Defect defect : Defect.values()) {
      if (defect != Defect.NONE) {
        printBad(defect, Disturbance.CALM);
      }
    }
    for (Disturbance disturbance : Disturbance.values()) {
      if (disturbance != Disturbance.CALM && disturbance != Disturbance.SCARCE_TRAFFIC) {
        printBad(Defect.LATE, disturbance);
      }
    }
    System.out.println();
    EvidenceCost.print();
    return 0;
  }

  private void printGood(Disturbance disturbance) {
    List<MoveResult> leased = runs(goodSeeds, Defect.NONE, disturbance, false);
    List<MoveResult> naive = runs(goodSeeds, Defect.NONE, disturbance, true);
    System.out.printf(
        Locale.ROOT,
        "%-15s moves %5d  taken back %4d | %4d  late %4d | %4d  finished at p99 %.2f of the time%n",
        disturbance,
        goodSeeds,
        takenBack(leased),
        takenBack(naive),
        late(leased),
        late(naive),
        quantile(leased.stream().mapToLong(MoveResult::finishedMillis), 0.99)
            / (double) MoveRun.MOVE_MILLIS);
  }

  private void printBad(Defect defect, Disturbance disturbance) {
    List<MoveResult> leased = runs(badSeeds, defect, disturbance, false);
    List<MoveResult> naive = runs(badSeeds, defect, disturbance, true);
    System.out.printf(
        Locale.ROOT,
        "%-11s %-14s %5d  left %3d | %3d  got %6.2f | %6.2f  harmed %6.2f | %6.2f (x %5.1f)"
            + "  seconds %s | %s%n",
        defect,
        disturbance,
        badSeeds,
        notTakenBack(leased),
        notTakenBack(naive),
        permille(leased, MoveResult::freshCalls),
        permille(naive, MoveResult::freshCalls),
        permille(leased, MoveResult::harmedCalls),
        permille(naive, MoveResult::harmedCalls),
        permille(naive, MoveResult::harmedCalls) / permille(leased, MoveResult::harmedCalls),
        seconds(leased),
        seconds(naive));
  }

  private List<MoveResult> runs(int seeds, Defect defect, Disturbance disturbance, boolean naive) {
    return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
        .parallel()
        .mapToObj(seed -> new Scenario(seed, defect, disturbance, callsPerSecond))
        .map(scenario -> MoveRun.run(scenario, naive))
        .toList();
  }

  private static long takenBack(List<MoveResult> results) {
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

  private static long notTakenBack(List<MoveResult> results) {
    return results.stream().filter(result -> result.takenBackMillis() < 0).count();
  }

  private static double permille(List<MoveResult> results, ToLongFunction<MoveResult> count) {
    return results.stream()
        .mapToDouble(result -> 1000.0 * count.applyAsLong(result) / result.calls())
        .average()
        .orElse(0);
  }

  private static String seconds(List<MoveResult> results) {
    return String.format(
        Locale.ROOT,
        "%6.1f %6.1f %6.1f",
        quantile(results.stream().mapToLong(MoveResult::exposureMillis), 0.5) / 1000.0,
        quantile(results.stream().mapToLong(MoveResult::exposureMillis), 0.99) / 1000.0,
        quantile(results.stream().mapToLong(MoveResult::exposureMillis), 1) / 1000.0);
  }

  private static long quantile(LongStream values, double fraction) {
    long[] sorted = values.filter(value -> value >= 0).sorted().toArray();
    return sorted.length == 0
        ? 0
        : sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
  }
}
