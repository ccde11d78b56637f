package io.hemlockbend.core.validation;

import java.util.List;

/**
 * A rule violation by a configuration or change set.
 *
 * @param key the violated rule
 * @param subject the part that violates the rule, such as {@code route quotes}
 * @param arguments the arguments of the message, in order
 */
public record Violation(ViolationKey key, String subject, List<String> arguments) {

  /** Copies the list. */
  public Violation {
    arguments = List.copyOf(arguments);
  }

  /**
   * Creates a violation.
   *
   * @param key the violated rule
   * @param subject the part that violates the rule
   * @param arguments the arguments of the message, in order; converted with {@code toString()}
   */
  public static Violation of(ViolationKey key, String subject, Object... arguments) {
    return new Violation(key, subject, List.of(arguments).stream().map(Object::toString).toList());
  }

  /** Returns the message for operators. */
  public String message() {
    return subject + " " + key.text().formatted(arguments.toArray());
  }
}
