package io.hemlockbend.core.api;

/**
 * Identifies a node; unchanged by restarts of its process.
 *
 * @param value the id as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record NodeId(String value) implements Comparable<NodeId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException when the text is not a valid id
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
