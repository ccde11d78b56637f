package io.hemlockbend.node.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all faults of the settings together; thrown before anything is started. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingFault> faults;

  /**
   * Creates the exception.
   *
   * @param faults the faults, at least one
   */
  public SettingsException(List<SettingFault> faults) {
    super(faults.stream().map(SettingFault::text).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults. */
  public List<SettingFault> faults() {
    return faults;
  }
}
