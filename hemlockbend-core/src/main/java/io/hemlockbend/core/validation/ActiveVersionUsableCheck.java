package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Service;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that the active version of each service exists and was not taken back. No properties.
 *
 * <p>Example of a violation: service {@code quotes} has the active version {@code v1}, which was
 * taken back without a replacement.
 */
public final class ActiveVersionUsableCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.SERVICE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (!(part instanceof ConfigurationPart.ServicePart(ServiceName key, Service service))) {
      return;
    }
    VersionKey active = new VersionKey(key, service.active());
    if (!context.configuration().usable(active)) {
      reporter.accept(Violation.of(ViolationKey.ACTIVE_VERSION_UNUSABLE, "service " + key, active));
    }
  }
}
