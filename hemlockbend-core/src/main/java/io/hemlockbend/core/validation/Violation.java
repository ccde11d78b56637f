package io.hemlockbend.core.validation;

import java.util.List;

/**
 * One fault of a configuration or change set.
 *
 * @param key what is wrong
 * @param subject the part that is at fault, such as {@code route quotes}
 * @param arguments what the message names, in its order
 */
public record Violation(ViolationKey key, String subject, List<String> arguments) {

  /** Copies the list. */
  public Violation {
    arguments = List.copyOf(arguments);
  }

  /**
   * Makes a violation of arguments of any type.
   *
   * @param key what is wrong
   * @param subject the part that is at fault
   * @param arguments what the message names; their text form counts
   */
  public static Violation of(ViolationKey key, String subject, Object... arguments) {
    return new Violation(key, subject, List.of(arguments).stream().map(Object::toString).toList());
  }

  /** Returns the message for operators. */
  public String message() {
    return subject + " " + key.text().formatted(arguments.toArray());
  }
}
