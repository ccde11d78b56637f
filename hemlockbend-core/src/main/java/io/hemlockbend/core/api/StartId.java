package io.hemlockbend.core.api;

/**
 * Identifies one start of an upstream's process; a new one tells of a restart.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record StartId(String value) implements Comparable<StartId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is no valid name
   */
  public StartId {
    Names.require("start", value);
  }

  @Override
  public int compareTo(StartId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
