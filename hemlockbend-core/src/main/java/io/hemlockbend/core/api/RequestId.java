package io.hemlockbend.core.api;

/**
 * Identifies a caller's request across all its hops and resends.
 *
 * @param value the id as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException when the text is not a valid id
   */
  public RequestId {
    Names.require("request", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
