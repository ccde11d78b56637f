package io.hemlockbend.core.validation;

import io.hemlockbend.core.model.Configuration;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that a configuration has no more parts of a kind than nodes are sized for.
 *
 * <p>Property {@code maxParts}: the most services, versions, routes or failure domains, each;
 * default {@link #MAX_PARTS}.
 *
 * <p>Example of a violation: a configuration with 9000 routes.
 */
public final class ConfigurationSizeCheck implements ConfigurationCheck {
  /** The default of the most parts of a kind. */
  public static final long MAX_PARTS = 8192;

  private final long maxParts;

  /** Makes the check with the default. */
  public ConfigurationSizeCheck() {
    this(MAX_PARTS);
  }

  /**
   * Makes the check.
   *
   * @param maxParts the most parts of a kind
   */
  public ConfigurationSizeCheck(long maxParts) {
    this.maxParts = maxParts;
  }

  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    Configuration configuration = context.configuration();
    compare("services", configuration.services().size(), found);
    compare("versions", configuration.versions().size(), found);
    compare("routes", configuration.routes().size(), found);
    compare("failure domains", configuration.domains().size(), found);
  }

  private void compare(String parts, int count, Consumer<Violation> found) {
    if (count > maxParts) {
      found.accept(
          Violation.of(ViolationKey.TOO_MANY_PARTS, "configuration", count, parts, maxParts));
    }
  }
}
