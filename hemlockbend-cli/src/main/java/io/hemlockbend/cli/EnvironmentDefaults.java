package io.hemlockbend.cli;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Provides the values of flags that are not given from environment variables, for example {@code
 * --commit-id} from {@code HEMLOCKBEND_COMMIT_ID}.
 */
final class EnvironmentDefaults implements IDefaultValueProvider {
  private static final String PREFIX = "HEMLOCKBEND_";

  private final UnaryOperator<String> environment;
  private final Set<String> faults = new LinkedHashSet<>();

  EnvironmentDefaults(UnaryOperator<String> environment) {
    this.environment = environment;
  }

  /** Returns the name of the variable of a flag. */
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
    String variable = variable(option.longestName());
    String value = environment.apply(variable);
    Optional<String> fault = value == null ? Optional.empty() : fault(option, value);
    fault.ifPresent(text -> faults.add("Invalid value for variable " + variable + ": " + text));
    return fault.isPresent() ? null : value;
  }

  private static Optional<String> fault(OptionSpec option, String value) {
    Class<?> type = option.isMultiValue() ? option.auxiliaryTypes()[0] : option.type();
    return Stream.of(
            option.isMultiValue() ? value.split(option.splitRegex()) : new String[] {value})
        .flatMap(part -> Converters.fault(type, part).stream())
        .findFirst();
  }

  /** Returns the errors of variables with invalid values, which are ignored. */
  Set<String> faults() {
    return faults;
  }
}
