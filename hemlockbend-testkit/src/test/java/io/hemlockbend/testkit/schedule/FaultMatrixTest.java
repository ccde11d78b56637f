package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.testkit.schedule.FaultMatrix.Result;
import io.hemlockbend.testkit.schedule.FaultMatrix.Strike;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FaultMatrixTest {
  private static final int SEEDS_SINGLE = 5;

  private static List<Strike> strikes() {
    return Arrays.stream(Step.values())
        .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> new Strike(step, fault)))
        .toList();
  }

  @Test
  void everyFaultAtEveryStep() {
    report(
        "single",
        strikes().stream()
            .flatMap(
                strike ->
                    LongStream.rangeClosed(1, SEEDS_SINGLE)
                        .mapToObj(seed -> new Run(List.of(strike), seed))));
  }

  @Test
  void everyPairOfFaults() {
    List<Strike> all = strikes();
    List<Run> runs = new ArrayList<>();
    for (int first = 0; first < all.size(); first++) {
      for (int second = first; second < all.size(); second++) {
        runs.add(new Run(List.of(all.get(first), all.get(second)), first * 100L + second));
      }
    }
    report("pairs", runs.stream());
  }

  private record Run(List<Strike> strikes, long seed) {
    List<String> violations(List<Result> results) {
      Result result = FaultMatrix.run(strikes, seed);
      synchronized (results) {
        results.add(result);
      }
      return result.violations().stream().map(text -> this + " " + text).toList();
    }
  }

  private static void report(String name, Stream<Run> runs) {
    List<Result> results = new ArrayList<>();
    List<String> violations =
        runs.parallel().flatMap(run -> run.violations(results).stream()).sorted().toList();
    System.out.printf(
        "fault matrix %s: %d runs, %d strikes, %d accepted, %d applied, %d violations%n",
        name,
        results.size(),
        results.stream().mapToInt(Result::struck).sum(),
        results.stream().mapToInt(Result::accepted).sum(),
        results.stream().mapToInt(Result::applied).sum(),
        violations.size());
    assertThat(violations).isEmpty();
  }
}
