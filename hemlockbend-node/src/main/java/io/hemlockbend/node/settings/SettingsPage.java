package io.hemlockbend.node.settings;

/** Generates docs/SETTINGS.md from {@link Setting}; a test compares the page with the code. */
public final class SettingsPage {
  private static final String HEAD =
      """
      # Settings of a node

      Made from the code by `bin/settings-page`; a test fails when the page differs. A flag goes
      before its variable. All faults are named in one go, nothing is started, and the exit code
      is 2.

      | flag | variable | default | allowed | meaning |
      |---|---|---|---|---|
      """;
  private static final String FOOT =
      """

      Logs have variables of their own: `HEMLOCKBEND_DECISION_LOG` (level of the decision lines,
      `info` or `off`), `HEMLOCKBEND_EVENT_LOG` (level of the node's own events) and
      `HEMLOCKBEND_LOG` (level of the libraries).
      """;

  private SettingsPage() {}

  /**
   * Prints the page.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    System.out.print(text());
  }

  /** Returns the page in Markdown. */
  static String text() {
    StringBuilder page = new StringBuilder(HEAD);
    for (Setting setting : Setting.values()) {
      page.append(row(setting));
    }
    return page.append(FOOT).toString();
  }

  private static String row(Setting setting) {
    String defaultValue =
        setting.defaultValue().map(value -> value.isEmpty() ? "none" : value).orElse("required");
    return "| `%s` | `%s` | %s | %s | %s |\n"
        .formatted(
            setting.flag(),
            setting.variable(),
            defaultValue,
            setting.format().allowed(),
            setting.description());
  }
}
