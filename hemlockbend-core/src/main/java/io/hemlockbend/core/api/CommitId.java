package io.hemlockbend.core.api;

/**
 * Identifies a commit, so that its outcome can be looked up when the response is lost.
 *
 * @param value the id as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record CommitId(String value) implements Comparable<CommitId> {

  /**
   * Validates the id.
   *
   * @throws IllegalArgumentException when the text is not a valid id
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
