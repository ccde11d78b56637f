package io.hemlockbend.core.administration;

import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;

/**
 * A violation as operators see it.
 *
 * @param key what is wrong
 * @param subject the part at fault
 * @param message the whole in words
 */
public record Fault(ViolationKey key, String subject, String message) {

  /** Returns the faults of violations. */
  public static List<Fault> of(List<Violation> violations) {
    return violations.stream().map(v -> new Fault(v.key(), v.subject(), v.message())).toList();
  }
}
