package io.hemlockbend.core.api;

/**
 * Identifies a caller's request over all its hops and resends.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is no valid name
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
