package io.hemlockbend.core.validation;

import java.util.Set;
import java.util.function.Consumer;

/**
 * A rule that configurations must satisfy. A check keeps no state between calls, so one instance
 * can check many configurations.
 */
public interface ConfigurationCheck {
  /** Returns the kinds of part that this check visits. */
  Set<PartKind> visitedKinds();

  /**
   * Checks one part.
   *
   * @param part a part of one of the visited kinds
   * @param context the configuration that the part belongs to, and the known failure domains
   * @param reporter receives each violation
   */
  void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter);
}
