package io.hemlockbend.node.settings;

/**
 * A setting that is missing or has a value that is not allowed.
 *
 * @param setting the setting
 * @param value the rejected value, or null when it is missing
 */
public record SettingFault(Setting setting, String value) {

  /** Returns the message: flag, variable, value and allowed values; never shows tokens. */
  public String text() {
    String names = setting.flag() + " (" + setting.variable() + ")";
    if (value == null) {
      return names + " is required: " + setting.format().allowed();
    }
    String shown = setting == Setting.TOKENS ? "the value given" : "'" + value + "'";
    return names + ": " + shown + " is not allowed; allowed: " + setting.format().allowed();
  }
}
