package io.hemlockbend.core.api;

/**
 * Identifies one start of an upstream's process; a changed id indicates a restart.
 *
 * @param value the id as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record StartId(String value) implements Comparable<StartId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException when the text is not a valid id
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
