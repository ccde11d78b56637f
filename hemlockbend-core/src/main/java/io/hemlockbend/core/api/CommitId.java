package io.hemlockbend.core.api;

/**
 * Identifies one commit, so that a lost answer can be settled by reading back.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record CommitId(String value) implements Comparable<CommitId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is no valid name
   */
  public CommitId {
    Names.require("commit", value);
  }

  @Override
  public int compareTo(CommitId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
