package io.hemlockbend.node;

import io.hemlockbend.node.settings.NodeSettings;
import io.hemlockbend.node.settings.Setting;
import io.hemlockbend.node.settings.SettingsException;
import java.util.EnumMap;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** The command line of {@code hemlockbend-node}, generated from {@link Setting}. */
final class NodeCommand {
  static final String VERSION = "0.1.0";

  private NodeCommand() {}

  /** Returns the command with one flag for each setting. */
  static CommandLine commandLine() {
    CommandSpec spec = CommandSpec.create();
    spec.name("hemlockbend-node");
    spec.version("hemlockbend-node " + VERSION);
    spec.mixinStandardHelpOptions(true);
    spec.usageMessage()
        .description("Runs the node beside one upstream: proxy, distributor and controller.");
    spec.usageMessage()
        .footer("Exit codes: 0 stopped normally, 1 failed to start, 2 invalid settings.");
    for (Setting setting : Setting.values()) {
      spec.addOption(option(setting));
    }
    return new CommandLine(spec);
  }

  private static OptionSpec option(Setting setting) {
    return OptionSpec.builder(setting.flag())
        .type(String.class)
        .paramLabel("VALUE")
        .description(
            setting.description(),
            "Environment: " + setting.variable(),
            setting
                .defaultValue()
                .map(value -> "Default: " + (value.isEmpty() ? "none" : value))
                .orElse("Required."))
        .build();
  }

  /**
   * Reads the settings; a flag overrides its environment variable.
   *
   * @param result the parsed flags
   * @param environment the environment variables
   * @throws SettingsException if any value is missing or not allowed; lists every fault
   */
  static NodeSettings settings(ParseResult result, Map<String, String> environment)
      throws SettingsException {
    Map<Setting, String> given = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      String value = result.matchedOptionValue(setting.flag(), environment.get(setting.variable()));
      if (value != null) {
        given.put(setting, value);
      }
    }
    return NodeSettings.read(given);
  }
}
