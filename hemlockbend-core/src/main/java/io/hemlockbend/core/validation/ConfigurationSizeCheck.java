package io.hemlockbend.core.validation;

import io.hemlockbend.core.model.Configuration;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that a configuration has no more parts of one kind than nodes are sized for.
 *
 * <p>Property {@code maxParts}: the maximum number of services, of versions, of routes and of
 * failure domains; default {@link #MAX_PARTS}.
 *
 * <p>Example of a violation: a configuration with 9000 routes.
 */
public final class ConfigurationSizeCheck implements ConfigurationCheck {
  /** The default maximum number of parts of one kind. */
  public static final long MAX_PARTS = 8192;

  private final long maxParts;

  /** Creates the check with the default. */
  public ConfigurationSizeCheck() {
    this(MAX_PARTS);
  }

  /**
   * Creates the check.
   *
   * @param maxParts the maximum number of parts of one kind
   */
  public ConfigurationSizeCheck(long maxParts) {
    this.maxParts = maxParts;
  }

  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    Configuration configuration = context.configuration();
    checkCount("services", configuration.services().size(), reporter);
    checkCount("versions", configuration.versions().size(), reporter);
    checkCount("routes", configuration.routes().size(), reporter);
    checkCount("failure domains", configuration.domains().size(), reporter);
  }

  private void checkCount(String parts, int count, Consumer<Violation> reporter) {
    if (count > maxParts) {
      reporter.accept(
          Violation.of(ViolationKey.TOO_MANY_PARTS, "configuration", count, parts, maxParts));
    }
  }
}
