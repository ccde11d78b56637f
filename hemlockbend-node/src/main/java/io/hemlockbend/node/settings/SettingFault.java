package io.hemlockbend.node.settings;

/**
 * A setting that is missing or out of range.
 *
 * @param setting the setting
 * @param value the value given, or null when it is missing
 */
public record SettingFault(Setting setting, String value) {

  /** Returns the fault in words: flag, variable, value and what is allowed. */
  public String text() {
    String names = setting.flag() + " (" + setting.variable() + ")";
    if (value == null) {
      return names + " is required: " + setting.format().allowed();
    }
    String shown = setting == Setting.TOKENS ? "the value given" : "'" + value + "'";
    return names + ": " + shown + " is not allowed; allowed: " + setting.format().allowed();
  }
}
