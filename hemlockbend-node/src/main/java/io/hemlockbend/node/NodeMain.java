package io.hemlockbend.node;

import io.hemlockbend.node.settings.NodeSettings;
import io.hemlockbend.node.settings.SettingsException;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import picocli.CommandLine;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;

/** Starts a node and stops it gracefully on a signal. */
public final class NodeMain {
  private static final int OK = 0;
  private static final int NOT_STARTED = 1;
  private static final int INVALID_SETTINGS = 2;

  private NodeMain() {}

  /**
   * Runs the node until the process receives a stop signal.
   *
   * @param arguments the command-line flags
   */
  public static void main(String[] arguments) {
    int code = run(arguments);
    if (code != OK) {
      System.exit(code);
    }
  }

  private static int run(String[] arguments) {
    CommandLine command = NodeCommand.commandLine();
    NodeSettings settings;
    try {
      ParseResult result = command.parseArgs(arguments);
      if (CommandLine.printHelpIfRequested(result)) {
        return OK;
      }
      settings = NodeCommand.settings(result, System.getenv());
    } catch (ParameterException | SettingsException e) {
      System.err.println(e.getMessage());
      System.err.println("Nothing was started; --help lists all settings.");
      return INVALID_SETTINGS;
    }
    try {
      serve(settings);
      return OK;
    } catch (NodeException e) {
      System.err.println(e.getMessage());
      return NOT_STARTED;
    }
  }

  private static void serve(NodeSettings settings) {
    Node node = Node.start(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.close();
                  LogManager.shutdown();
                  stopped.countDown();
                },
                "stop"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
