package io.hemlockbend.core.api;

/**
 * Names a region: failure domains that are close to each other.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record Region(String value) implements Comparable<Region> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public Region {
    Names.require("region", value);
  }

  @Override
  public int compareTo(Region other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
