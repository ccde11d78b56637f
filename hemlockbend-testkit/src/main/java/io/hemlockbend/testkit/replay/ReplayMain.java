package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.testkit.trace.NodeLogReader;
import io.hemlockbend.testkit.trace.TraceException;
import io.hemlockbend.testkit.trace.TraceReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Checks recorded traces against stated outcomes. */
@Command(
    name = "hemlockbend-replay",
    description = "Checks traces. Exits with 0 on a pass, 1 on a violation, 2 on a bad file.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
public final class ReplayMain implements Callable<Integer> {
  static final int PASS = 0;
  static final int VIOLATED = 1;
  static final int BAD_FILE = 2;

  @Option(names = "--outcomes", required = true, description = "JSON file of stated outcomes.")
  private Path outcomes;

  @Option(names = "--trace", description = "Trace of callers or upstreams; may be repeated.")
  private List<Path> traces = List.of();

  @Option(names = "--node-log", description = "Log of a node; may be repeated.")
  private List<Path> nodeLogs = List.of();

  @Option(names = "--first", description = "How many violations to print.")
  private int first = 20;

  ReplayMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new ReplayMain()).execute(arguments));
  }

  @Override
  public Integer call() {
    List<Violation> violations;
    try {
      violations = replay();
    } catch (TraceException | CodecException e) {
      return badFile(e.getMessage());
    } catch (IOException e) {
      return badFile("cannot read " + e.getMessage());
    }
    if (violations.isEmpty()) {
      System.out.println("pass");
      return PASS;
    }
    System.out.println("failed: " + violations.size() + " violations");
    violations.stream().limit(first).forEach(System.out::println);
    return VIOLATED;
  }

  private static int badFile(String reason) {
    System.err.println("error: " + reason);
    return BAD_FILE;
  }

  private List<Violation> replay() throws IOException {
    StatedOutcomes stated =
        new JsonCodec().decode(Files.readAllBytes(outcomes), StatedOutcomes.class);
    TraceReplay replay = new TraceReplay(TraceReplay.allChecks(stated));
    for (Path trace : traces) {
      new TraceReader().read(trace, replay::accept);
    }
    for (Path log : nodeLogs) {
      new NodeLogReader().read(log, replay::accept);
    }
    return replay.violations();
  }
}
