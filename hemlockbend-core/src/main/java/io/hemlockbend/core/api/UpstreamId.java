package io.hemlockbend.core.api;

/**
 * Identifies an upstream; unchanged by restarts of its process.
 *
 * @param value the id as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException when the text is not a valid id
   */
  public UpstreamId {
    Names.require("upstream", value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
