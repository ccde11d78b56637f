package io.hemlockbend.core.api;

/**
 * Names a failure domain: instances that may fail or be withdrawn together.
 *
 * @param value the name as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException when the text is not a valid name
   */
  public FailureDomain {
    Names.require("failure domain", value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
