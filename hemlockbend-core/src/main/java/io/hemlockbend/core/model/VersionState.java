package io.hemlockbend.core.model;

/** Whether an upstream version may take traffic. */
public enum VersionState {
  /** May take traffic. */
  USABLE,
  /** Was found bad or taken back by an operator; takes none until an operator adds it anew. */
  TAKEN_BACK
}
