package io.hemlockbend.core.api;

/**
 * Identifies an upstream; stays the same over restarts of the upstream.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is no valid name
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
