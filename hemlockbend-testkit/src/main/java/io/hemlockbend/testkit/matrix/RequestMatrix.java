package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import io.hemlockbend.testkit.matrix.FaultPlan.Cell;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Injects every fault at every step of a request, alone and with a second fault. */
public final class RequestMatrix {

  /**
   * The summed result of one or more runs.
   *
   * @param runs the number of runs
   * @param reached the runs in which the observed request reached the step of the fault
   * @param mostCrashes the most crashes caused by the observed request in one run
   * @param violations the violations of each invariant; without those that held
   */
  record Result(int runs, int reached, int mostCrashes, Map<Invariant, Integer> violations) {

    Result plus(Result other) {
      Map<Invariant, Integer> sum = new EnumMap<>(Invariant.class);
      sum.putAll(violations);
      other.violations.forEach((invariant, count) -> sum.merge(invariant, count, Integer::sum));
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
   * Prints a table of all cells and the totals.
   *
   * @param args the number of seeds for each cell and kind of request; 10 by default
   */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
    Result all = NO_RUN;
    System.out.println("fault x step: runs/reached/violations, " + seeds + " seeds, 3 kinds");
    for (Fault fault : Fault.values()) {
      StringBuilder row = new StringBuilder(String.format("%-22s", fault));
      for (Step step : Step.values()) {
        Result result = cell(new Cell(step, fault), seeds, Policies.CORE);
        int violations = result.violations().values().stream().mapToInt(count -> count).sum();
        row.append(String.format(" %d/%d/%d", result.runs(), result.reached(), violations));
        all = all.plus(result);
      }
      System.out.println(row);
    }
    System.out.println("total runs " + all.runs() + ", reached " + all.reached());
    System.out.println("most crashes by one request " + all.mostCrashes());
    System.out.println("violations " + all.violations());
  }

  /** Runs one cell with each kind of request; even seeds add a second, random fault. */
  static Result cell(Cell cell, int seeds, Policies policies) {
    Result sum = NO_RUN;
    for (Kind kind : Kind.values()) {
      for (int seed = 1; seed <= seeds; seed++) {
        List<Cell> cells = new ArrayList<>(List.of(cell));
        if (seed % 2 == 0) {
          cells.add(
              randomCell(
                  new Random(
                      seed * 1_000L + 31L * cell.step().ordinal() + cell.fault().ordinal())));
        }
        sum = sum.plus(run(cells, kind, seed, policies));
      }
    }
    return sum;
  }

  /** Runs the mesh once; the first cell is the one whose step is checked for being reached. */
  static Result run(List<Cell> cells, Kind kind, long seed, Policies policies) {
    FaultPlan plan = FaultPlan.of(OBSERVED, cells);
    Mesh mesh = new Mesh(seed, Sizes.MATRIX, policies, plan);
    CallerRequest observed = new CallerRequest(OBSERVED, kind, seed % 4 == 3, Priority.NORMAL);
    mesh.callers().start();
    mesh.queue().schedule(OBSERVED_AT_MILLIS, () -> mesh.callers().send(observed, 0));
    mesh.queue().runUntil(Sizes.MATRIX.endMillis() + SETTLE_MILLIS);
    int reached = plan.fired().contains(cells.getFirst()) ? 1 : 0;
    boolean killed = cells.stream().anyMatch(cell -> cell.fault() == Fault.KILL_UPSTREAM);
    long crashes = mesh.trace().stream().filter(TraceEvent.Crashed.class::isInstance).count();
    return new Result(
        1, reached, (int) crashes, TraceChecks.check(mesh.trace(), Sizes.MATRIX, OBSERVED, killed));
  }

  private static Cell randomCell(Random random) {
    Step step = Step.values()[random.nextInt(Step.values().length)];
    return new Cell(step, Fault.values()[random.nextInt(Fault.values().length)]);
  }
}
