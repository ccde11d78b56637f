package io.hemlockbend.testkit.demo;

import io.hemlockbend.cli.HemlockbendMain;
import io.hemlockbend.testkit.mesh.EmbeddedMesh;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Map;
import java.util.stream.Stream;
import picocli.CommandLine;

/** Runs operators' commands against an embedded mesh, as from a shell. */
final class DemoOperator {
  static final String TOKEN = "demo-operator-token-1";
  static final String GRANT = TOKEN + "=operator:*:demo";
  private static final String INDENT = "    ";

  private final Map<String, String> environment;

  DemoOperator(EmbeddedMesh mesh) {
    int port = mesh.members().getFirst().node().adminPort();
    environment = Map.of("HEMLOCKBEND_TOKEN", TOKEN, "HEMLOCKBEND_NODE", "127.0.0.1:" + port);
  }

  /** Runs a command, and prints it with its output. */
  void show(String... arguments) {
    System.out.println("$ hemlockbend " + String.join(" ", arguments));
    run(arguments).lines().map(line -> INDENT + line).forEach(System.out::println);
  }

  /**
   * Runs a command and returns its standard output.
   *
   * @throws IllegalStateException when the exit code is not 0
   */
  String run(String... arguments) {
    CommandLine line = HemlockbendMain.commandLine(environment::get);
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    line.setOut(new PrintWriter(out, true));
    line.setErr(new PrintWriter(err, true));
    int code = line.execute(arguments);
    if (code != 0) {
      throw new IllegalStateException(
          "hemlockbend " + Stream.of(arguments).toList() + " exited with " + code + ": " + err);
    }
    return out.toString();
  }
}
