package io.hemlockbend.core.model;

/** Whether an upstream version may take traffic. */
public enum VersionState {
  /** May take traffic. */
  USABLE,
  /** Found faulty or taken back by an operator; unused until an operator adds it again. */
  TAKEN_BACK
}
