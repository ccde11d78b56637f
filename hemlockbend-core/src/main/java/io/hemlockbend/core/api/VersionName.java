package io.hemlockbend.core.api;

/**
 * Names one version of a service's upstreams.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record VersionName(String value) implements Comparable<VersionName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public VersionName {
    Names.require("version", value);
  }

  @Override
  public int compareTo(VersionName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
