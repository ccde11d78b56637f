package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.VersionState;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that each upstream version belongs to a service of the configuration. No properties.
 *
 * <p>Example of a violation: version {@code quotes/v2} exists, but service {@code quotes} does not.
 */
public final class VersionServiceExistsCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.VERSION);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (part instanceof ConfigurationPart.VersionPart(VersionKey key, VersionState state)
        && !context.configuration().services().containsKey(key.service())) {
      reporter.accept(
          Violation.of(ViolationKey.VERSION_SERVICE_MISSING, "version " + key, key.service()));
    }
  }
}
