package io.hemlockbend.core.validation;

import java.util.Set;
import java.util.function.Consumer;

/**
 * One rule about configurations. A check keeps no state between calls, so that one instance can be
 * used for many configurations.
 */
public interface ConfigurationCheck {
  /** Returns the kinds of part that the check wants to see. */
  Set<PartKind> wantedKinds();

  /**
   * Looks at one part.
   *
   * @param part a part of a wanted kind
   * @param context the whole that the part belongs to
   * @param found takes each violation
   */
  void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found);
}
