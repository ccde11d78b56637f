package io.hemlockbend.cli;

import java.util.Locale;
import java.util.function.UnaryOperator;
import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Takes the value of a flag that is not given from the environment: {@code --commit-id} from {@code
 * HEMLOCKBEND_COMMIT_ID}, and so on.
 */
final class EnvironmentDefaults implements IDefaultValueProvider {
  private static final String PREFIX = "HEMLOCKBEND_";

  private final UnaryOperator<String> environment;

  EnvironmentDefaults(UnaryOperator<String> environment) {
    this.environment = environment;
  }

  /** Returns the variable of a flag. */
  static String variable(String flag) {
    return PREFIX + flag.substring(2).toUpperCase(Locale.ROOT).replace('-', '_');
  }

  @Override
  public String defaultValue(ArgSpec argument) {
    if (!(argument instanceof OptionSpec option)
        || option.usageHelp()
        || option.versionHelp()
        || !option.longestName().startsWith("--")) {
      return null;
    }
    return environment.apply(variable(option.longestName()));
  }
}
