package io.hemlockbend.cli;

import io.hemlockbend.core.api.NodeAddress;
import java.io.PrintWriter;
import java.util.List;
import picocli.CommandLine.Option;

/** The flags of all commands that send a request to a node. */
final class ConnectionOptions {
  @Option(
      names = "--node",
      required = true,
      split = ",",
      paramLabel = "HOST:PORT",
      description =
          "A node's administration address; may be repeated. The next is tried when one does not"
              + " answer.")
  private List<NodeAddress> nodes;

  @Option(
      names = "--token",
      required = true,
      description = "The operator's token; preferably given by HEMLOCKBEND_TOKEN.")
  private Token token;

  @Option(
      names = "--output",
      defaultValue = "table",
      paramLabel = "table|json",
      description = "The format of the answer; default table.")
  private OutputForm output = OutputForm.TABLE;

  @Option(
      names = "--timeout",
      paramLabel = "DURATION",
      description = "The time limit of retries and of --wait; default 30s.")
  private TimeSpan timeout = new TimeSpan(30_000);

  AdminClient client(PrintWriter progress) {
    return AdminClient.start(nodes, token, timeout.millis(), progress);
  }

  OutputForm output() {
    return output;
  }
}
