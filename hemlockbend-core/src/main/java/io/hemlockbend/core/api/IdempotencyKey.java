package io.hemlockbend.core.api;

/**
 * Identifies a request that must not run twice; all resends carry the same key.
 *
 * @param value the key as text, 1 to 64 characters of {@code [A-Za-z0-9._:-]}
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /**
   * Validates the key.
   *
   * @throws IllegalArgumentException when the text is not a valid key
   */
  public IdempotencyKey {
    Names.require("idempotency key", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
