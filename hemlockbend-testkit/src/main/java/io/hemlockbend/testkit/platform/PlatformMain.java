package io.hemlockbend.testkit.platform;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in of the platform as a process of its own until it is terminated. */
@Command(
    name = "hemlockbend-platform",
    description = "Stand-in for the platform's table service and object store.",
    mixinStandardHelpOptions = true,
    showDefaultValues = true)
public final class PlatformMain implements Callable<Integer> {
  @Option(names = "--host", description = "IP address to listen on.")
  private String host = "127.0.0.1";

  @Option(names = "--port", description = "TCP port to listen on; 0 for any that is free.")
  private int port = 7400;

  @Option(names = "--seed", description = "Seed for the choice of answers that are lost.")
  private long seed = 1;

  private PlatformMain() {}

  /** Runs the command. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new PlatformMain()).execute(arguments));
  }

  @Override
  public Integer call() throws InterruptedException {
    try (PlatformServer server = new PlatformServer(host, port, new InMemoryTable(), seed)) {
      System.out.println("platform listens on " + server.uri());
      Thread.currentThread().join();
      return CommandLine.ExitCode.OK;
    }
  }
}
