package io.hemlockbend.core.api;

/**
 * The SHA-256 of a configuration's canonical form.
 *
 * @param value 64 lower-case hexadecimal digits
 */
public record Digest(String value) {

  /**
   * Validates the digits.
   *
   * @throws IllegalArgumentException when the text is not 64 lower-case hexadecimal digits
   */
  public Digest {
    if (value == null || !value.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException(
          "digest must be 64 lower-case hexadecimal digits, got '" + value + "'");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
