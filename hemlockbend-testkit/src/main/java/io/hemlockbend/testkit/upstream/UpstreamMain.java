package io.hemlockbend.testkit.upstream;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.testkit.trace.TraceWriter;
import io.hemlockbend.testkit.upstream.UpstreamSettings.ColdLimit;
import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in upstream as a process of its own; SIGTERM drains and stops it. */
@Command(
    name = "hemlockbend-upstream",
    description = "Stand-in upstream.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
public final class UpstreamMain implements Callable<Integer> {
  private static final int CRASH_STATUS = 134;

  @Option(names = "--upstream", required = true, description = "Id of the upstream.")
  private String upstream;

  @Option(names = "--service", required = true, description = "Service that it belongs to.")
  private String service;

  @Option(names = "--upstream-version", required = true, description = "Version that it runs.")
  private String version;

  @Option(names = "--host", description = "IP address to listen on.")
  private String host = "127.0.0.1";

  @Option(names = "--port", description = "TCP port to listen on; 0 for any that is free.")
  private int port;

  @Option(names = "--announce", description = "Root URI of the node's announce interface.")
  private URI announceUri;

  @Option(names = "--slots", description = "Requests served at once.")
  private int slots = 10;

  @Option(names = "--service-ms", description = "Service time, milliseconds.")
  private long serviceMillis = 1;

  @Option(names = "--cold-concurrent", description = "Concurrent requests when cold; others fail.")
  private int coldConcurrent = 2;

  @Option(names = "--cold-ms", description = "Duration of the cold start, milliseconds.")
  private long coldMillis;

  @Option(names = "--drain-ms", description = "Timeout of the drain at SIGTERM, milliseconds.")
  private long drainMillis = 10_000;

  @Option(names = "--seed", description = "Seed for the choice of requests that fail.")
  private long seed = 1;

  @Option(names = "--trace", description = "Trace file for a record of each request.")
  private Path trace;

  private UpstreamMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new UpstreamMain()).execute(arguments));
  }

  @Override
  public Integer call() throws InterruptedException {
    UpstreamListener listener =
        trace == null ? UpstreamListener.NONE : new TraceWriter(trace)::write;
    Runnable halt = () -> Runtime.getRuntime().halt(CRASH_STATUS);
    UpstreamServer server =
        new UpstreamServer(settings(), new RunLedger(), listener, Optional.of(halt));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndClose(server), "drain"));
    System.out.println("upstream " + upstream + " listens on " + server.uri());
    Thread.currentThread().join();
    return CommandLine.ExitCode.OK;
  }

  private UpstreamSettings settings() {
    return new UpstreamSettings(
        new UpstreamId(upstream),
        new StartId(UUID.randomUUID().toString()),
        new ServiceName(service),
        new VersionName(version),
        slots,
        serviceMillis,
        new ColdLimit(coldConcurrent, coldMillis),
        Optional.ofNullable(announceUri),
        host,
        port,
        seed);
  }

  private void drainAndClose(UpstreamServer server) {
    try (server) {
      server.drain(drainMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
