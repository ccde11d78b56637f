package io.hemlockbend.testkit.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs all probes and prints the table of docs/CAPACITY.md. */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    description = "Measures how costs grow with size and extrapolates them to the target size.")
public final class CapacityMain implements Callable<Integer> {
  private static final int REPEATS = 3;

  @Option(names = "--raw", description = "File to write the raw figures to.")
  private Path raw;

  /**
   * Runs the command.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new CapacityMain()).execute(arguments));
  }

  @Override
  public Integer call() throws IOException {
    CapacityReport report = new CapacityReport();
    for (Probe probe : Probes.all()) {
      report.add(probe, samples(probe));
    }
    System.out.print(report.table());
    if (raw != null) {
      Files.writeString(raw, report.raw());
    }
    return 0;
  }

  private static List<Sample> samples(Probe probe) {
    List<Sample> samples = new ArrayList<>();
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      for (int size : probe.spec().sizes()) {
        samples.add(new Sample(size, probe.measure(size)));
      }
    }
    return samples;
  }
}
