package io.hemlockbend.core.api;

/**
 * Names a service: a group of upstreams that serve the same routes.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public ServiceName {
    Names.require("service", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
