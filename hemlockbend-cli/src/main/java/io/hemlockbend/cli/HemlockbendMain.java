package io.hemlockbend.cli;

import io.hemlockbend.core.administration.Problem;
import java.io.PrintWriter;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import picocli.CommandLine;
import picocli.CommandLine.ParseResult;

/** Starts the operators' command. */
public final class HemlockbendMain {
  private HemlockbendMain() {}

  /**
   * Runs one command and ends the process with its exit code.
   *
   * @param arguments the command and its flags
   */
  public static void main(String[] arguments) {
    System.setProperty("slf4j.internal.verbosity", "ERROR");
    System.exit(commandLine(System::getenv).execute(arguments));
  }

  /**
   * Returns the command line.
   *
   * @param environment returns the value of an environment variable, or null
   */
  public static CommandLine commandLine(UnaryOperator<String> environment) {
    CommandLine line = new CommandLine(new HemlockbendCommand());
    line.setCaseInsensitiveEnumValuesAllowed(true);
    EnvironmentDefaults defaults = new EnvironmentDefaults(environment);
    line.setDefaultValueProvider(defaults);
    Converters.register(line);
    line.getCommandSpec().parser().collectErrors(true);
    line.getSubcommands().values().forEach(HemlockbendMain::collectErrors);
    line.setExecutionStrategy(result -> execute(result, defaults));
    line.setExecutionExceptionHandler((failure, command, result) -> report(failure, command));
    return line;
  }

  private static void collectErrors(CommandLine line) {
    line.getCommandSpec().parser().collectErrors(true);
    line.getSubcommands().values().forEach(HemlockbendMain::collectErrors);
  }

  /** Runs the command when its flags are valid, else prints every error. */
  private static int execute(ParseResult result, EnvironmentDefaults defaults) {
    List<CommandLine> lines = result.asCommandLineList();
    CommandLine last = lines.getLast();
    lines.forEach(line -> checkVariables(line, defaults));
    Set<String> faults = new LinkedHashSet<>(defaults.faults());
    lines.forEach(line -> line.getParseResult().errors().forEach(e -> faults.add(e.getMessage())));
    boolean help =
        lines.stream().anyMatch(l -> l.isUsageHelpRequested() || l.isVersionHelpRequested());
    if (faults.isEmpty() || help) {
      return new CommandLine.RunLast().execute(result);
    }
    PrintWriter err = last.getErr();
    faults.forEach(err::println);
    err.println("Nothing was sent; --help lists all flags and their environment variables.");
    return ExitCodes.USAGE;
  }

  /** Checks the variables of flags that are not given; the parser skips them after an error. */
  private static void checkVariables(CommandLine line, EnvironmentDefaults defaults) {
    line.getCommandSpec().options().stream()
        .filter(option -> !line.getParseResult().hasMatchedOption(option))
        .forEach(defaults::defaultValue);
  }

  private static int report(Exception failure, CommandLine command) throws Exception {
    if (!(failure instanceof ClientException known)) {
      throw failure;
    }
    PrintWriter err = command.getErr();
    err.println(known.getMessage());
    known.problem().ifPresent(problem -> printProblem(problem, err));
    return known.exitCode();
  }

  private static void printProblem(Problem problem, PrintWriter err) {
    problem.faults().forEach(fault -> err.println("  " + fault.message()));
    problem
        .competing()
        .forEach(
            other ->
                err.println(
                    "  version %s by %s: %s"
                        .formatted(
                            other.version(), other.author(), ChangeText.of(other.changes()))));
    problem.commit().ifPresent(commit -> err.println("  commit id " + commit));
  }
}
