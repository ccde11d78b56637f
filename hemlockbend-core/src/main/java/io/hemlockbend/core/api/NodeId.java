package io.hemlockbend.core.api;

/**
 * Identifies a node; stays the same over restarts of its process.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record NodeId(String value) implements Comparable<NodeId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is no valid name
   */
  public NodeId {
    Names.require("node", value);
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
