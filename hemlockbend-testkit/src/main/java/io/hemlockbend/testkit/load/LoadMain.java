package io.hemlockbend.testkit.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceWriter;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Generates load on a mesh and reports the answers and latency that its callers got. */
@Command(
    name = "hemlockbend-load",
    description = "Open-loop load generator. Exits with 1 when an answer looks whole and is not.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
public final class LoadMain implements Callable<Integer> {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int WRONG_ANSWERS = 1;

  @Option(names = "--entry", required = true, description = "Entry URI; may be repeated.")
  private List<URI> entries;

  @Option(names = "--rate", description = "Calls per second.")
  private int ratePerSecond = 200;

  @Option(names = "--seconds", description = "Duration of the load, seconds.")
  private long seconds = 10;

  @Option(names = "--warm-up-seconds", description = "Duration of the warm-up, not reported.")
  private long warmUpSeconds;

  @Option(names = "--timeout-ms", description = "Deadline of each call, milliseconds.")
  private long timeoutMillis = 2_000;

  @Option(names = "--photo-bytes", description = "Length of photos, bytes.")
  private int photoBytes = 200_000;

  @Option(
      names = "--call",
      required = true,
      description = "kind:path:weight, kind get, post or photo; may be repeated.")
  private List<String> calls;

  @Option(names = "--seed", description = "Seed of arrivals, calls and entries.")
  private long seed = 1;

  @Option(names = "--output", description = "Format of the report: ${COMPLETION-CANDIDATES}.")
  private Output output = Output.text;

  @Option(names = "--plot", description = "PNG file for a plot per second.")
  private Path plot;

  @Option(names = "--trace", description = "Trace file for a record of each call.")
  private Path trace;

  /** The formats of a report, named as on the command line. */
  private enum Output {
    text,
    json
  }

  private LoadMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new LoadMain()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    LoadReport report = run();
    if (plot != null) {
      ReportPlot.write(report, plot);
    }
    System.out.println(
        output == Output.json
            ? new String(new JsonCodec().encode(report), UTF_8)
            : ReportText.of(report));
    return report.wrong() == 0 ? CommandLine.ExitCode.OK : WRONG_ANSWERS;
  }

  private LoadReport run() throws Exception {
    if (trace == null) {
      return run(call -> {});
    }
    try (TraceWriter writer = new TraceWriter(trace)) {
      return run(writer::write);
    }
  }

  private LoadReport run(Consumer<TraceRecord.Call> sink) throws Exception {
    if (warmUpSeconds > 0) {
      LoadTool.run(plan(warmUpSeconds, ~seed), sink);
    }
    return LoadTool.run(plan(seconds, seed), sink);
  }

  private LoadPlan plan(long durationSeconds, long planSeed) {
    return new LoadPlan(
        entries,
        ratePerSecond,
        durationSeconds * MILLIS_PER_SECOND,
        timeoutMillis,
        photoBytes,
        calls.stream().map(CallTemplate::parse).toList(),
        planSeed);
  }
}
