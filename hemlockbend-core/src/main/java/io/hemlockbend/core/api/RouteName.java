package io.hemlockbend.core.api;

/**
 * Names a route.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record RouteName(String value) implements Comparable<RouteName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public RouteName {
    Names.require("route", value);
  }

  @Override
  public int compareTo(RouteName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
