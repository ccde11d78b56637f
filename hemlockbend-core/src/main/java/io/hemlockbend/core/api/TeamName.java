package io.hemlockbend.core.api;

/**
 * Names a team, which owns services.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record TeamName(String value) implements Comparable<TeamName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public TeamName {
    Names.require("team", value);
  }

  @Override
  public int compareTo(TeamName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
