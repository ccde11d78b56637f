package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.distribution.DistributionSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures convergence, bytes, reads and processor time of the distribution in virtual time, and
 * compares them with a baseline in which every node polls the table.
 */
@Command(name = "mesh-bench", mixinStandardHelpOptions = true)
public final class MeshBench implements Callable<Integer> {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final String WRITE_ERROR = "cannot write ";

  @Option(names = "--sizes", split = ",", description = "node counts", defaultValue = "10,30")
  private List<Integer> sizes = new ArrayList<>();

  @Option(names = "--changes", description = "changes to measure", defaultValue = "30")
  private int changes;

  @Option(names = "--idle-seconds", description = "idle time to measure", defaultValue = "60")
  private long idleSeconds;

  @Option(names = "--services", description = "services configured", defaultValue = "350")
  private int services;

  @Option(names = "--loss-permille", description = "messages lost", defaultValue = "0")
  private int lossPermille;

  @Option(names = "--seed", description = "seed of the random generator", defaultValue = "1")
  private long seed;

  @Option(names = "--csv", description = "file for the raw figures", required = true)
  private Path csv;

  private MeshBench() {}

  /** Runs the benchmark and exits with 0, or with 1 when a node did not apply a change. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new MeshBench()).execute(args));
  }

  @Override
  public Integer call() {
    List<BenchRow> rows = new ArrayList<>();
    for (int size : sizes) {
      BenchRun run = new BenchRun(options(size), changes, idleSeconds * MILLIS_PER_SECOND);
      System.out.println(run.startAllNodes());
      List<BenchRow> measured = run.measure();
      System.out.println(BenchRow.TABLE_HEADER);
      measured.forEach(row -> System.out.println(row.table()));
      rows.addAll(measured);
    }
    printRatios(rows);
    write(rows);
    return rows.stream().allMatch(row -> row.missing() == 0) ? 0 : 1;
  }

  private ScheduledMesh.Options options(int size) {
    MeshLayout layout = new MeshLayout(size, Math.clamp(size / 3, 3, 11), 3);
    MessageChannel.Conditions conditions =
        new MessageChannel.Conditions(1_500, 8_000, 500, lossPermille, 0);
    return new ScheduledMesh.Options(
        layout, conditions, DistributionSettings.DEFAULT, services, false, seed);
  }

  private static void printRatios(List<BenchRow> rows) {
    for (BenchRow row : rows) {
      rows.stream()
          .filter(
              other -> row.method().equals(BenchRun.MESH) && !other.method().equals(BenchRun.MESH))
          .filter(other -> other.nodes() == row.nodes() && other.phase().equals(row.phase()))
          .forEach(other -> System.out.println(row.ratio(other)));
    }
  }

  private void write(List<BenchRow> rows) {
    List<String> lines = new ArrayList<>();
    lines.add(BenchRow.CSV_HEADER);
    rows.forEach(row -> lines.add(row.csv()));
    try {
      Files.write(csv, lines);
    } catch (IOException e) {
      throw new CommandLine.ExecutionException(new CommandLine(this), WRITE_ERROR + csv, e);
    }
  }
}
