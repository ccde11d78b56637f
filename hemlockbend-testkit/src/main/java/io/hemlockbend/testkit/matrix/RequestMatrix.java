package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import io.hemlockbend.testkit.matrix.FaultPlan.Cell;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Runs every fault at every step of a request, alone and with a second one, and counts. */
public final class RequestMatrix {

  /**
   * What one run or many came to.
   *
   * @param runs how many runs
   * @param reached in how many of them the observed request came to the fault's step
   * @param mostCrashes how many upstreams the observed request crashed in the worst run
   * @param broken how often each line was broken
   */
  record Result(int runs, int reached, int mostCrashes, Map<Line, Integer> broken) {

    Result plus(Result other) {
      Map<Line, Integer> sum = new EnumMap<>(Line.class);
      sum.putAll(broken);
      other.broken.forEach((line, count) -> sum.merge(line, count, Integer::sum));
      int crashes = Math.max(mostCrashes, other.mostCrashes);
      return new Result(runs + other.runs, reached + other.reached, crashes, sum);
    }
  }

  static final Result NO_RUN = new Result(0, 0, 0, Map.of());

  private static final int OBSERVED = 1_000_000;
  private static final long OBSERVED_AT_MILLIS = 1_500;
  private static final long SETTLE_MILLIS = 6_000;

  private RequestMatrix() {}

  /**
   * Prints a table of all cells.
   *
   * @param args the number of seeds for each cell and kind of request, 10 when not given
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
    Result all = NO_RUN;
    System.out.println("fault x step: runs/reached/lines broken, " + seeds + " seeds, 3 kinds");
    for (Fault fault : Fault.values()) {
      StringBuilder row = new StringBuilder(String.format("%-22s", fault));
      for (Step step : Step.values()) {
        Result result = cell(new Cell(step, fault), seeds, Policies.CORE);
        int broken = result.broken().values().stream().mapToInt(count -> count).sum();
        row.append(String.format(" %d/%d/%d", result.runs(), result.reached(), broken));
        all = all.plus(result);
      }
      System.out.println(row);
    }
    System.out.println("total runs " + all.runs() + ", reached " + all.reached());
    System.out.println("most crashes by one request " + all.mostCrashes());
    System.out.println("lines broken " + all.broken());
  }

  /** Runs one cell with each kind of request; every other seed adds a second fault at random. */
  static Result cell(Cell cell, int seeds, Policies policies) {
    Result sum = NO_RUN;
    for (Kind kind : Kind.values()) {
      for (int seed = 1; seed <= seeds; seed++) {
        List<Cell> cells = new ArrayList<>(List.of(cell));
        if (seed % 2 == 0) {
          cells.add(
              drawn(
                  new Random(
                      seed * 1_000L + 31L * cell.step().ordinal() + cell.fault().ordinal())));
        }
        sum = sum.plus(run(cells, kind, seed, policies));
      }
    }
    return sum;
  }

  /** Runs the mesh once, with faults when the observed request comes to their steps. */
  static Result run(List<Cell> cells, Kind kind, long seed, Policies policies) {
    FaultPlan plan = FaultPlan.of(OBSERVED, cells);
    Mesh mesh = new Mesh(seed, Sizes.MATRIX, policies, plan);
    CallerRequest observed = new CallerRequest(OBSERVED, kind, seed % 4 == 3, Priority.NORMAL);
    mesh.callers().start();
    mesh.queue().in(OBSERVED_AT_MILLIS, () -> mesh.callers().send(observed, 0));
    mesh.queue().runUntil(Sizes.MATRIX.endMillis() + SETTLE_MILLIS);
    int reached = plan.fired().contains(cells.getFirst()) ? 1 : 0;
    boolean killed = cells.stream().anyMatch(cell -> cell.fault() == Fault.KILL_UPSTREAM);
    long crashes = mesh.trace().stream().filter(TraceEvent.Crashed.class::isInstance).count();
    return new Result(
        1, reached, (int) crashes, TraceChecks.check(mesh.trace(), Sizes.MATRIX, OBSERVED, killed));
  }

  private static Cell drawn(Random random) {
    Step step = Step.values()[random.nextInt(Step.values().length)];
    return new Cell(step, Fault.values()[random.nextInt(Fault.values().length)]);
  }
}
