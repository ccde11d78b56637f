package io.hemlockbend.core.administration;

import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;

/**
 * A violation as reported to operators.
 *
 * @param key the violated rule
 * @param subject the part that violates the rule
 * @param message the message, which includes the subject
 */
public record Fault(ViolationKey key, String subject, String message) {

  /** Converts violations to faults, in the same order. */
  public static List<Fault> of(List<Violation> violations) {
    return violations.stream().map(v -> new Fault(v.key(), v.subject(), v.message())).toList();
  }
}
