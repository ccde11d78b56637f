package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Service;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that a move goes from the active version of its service to a version that may take
 * traffic. No properties.
 *
 * <p>Example of a violation: a move of {@code quotes} to {@code v3}, which was taken back.
 */
public final class MoveVersionsUsableCheck implements ConfigurationCheck {
  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.MOVE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (!(part instanceof ConfigurationPart.MovePart(ServiceName key, Move move))) {
      return;
    }
    String subject = "move of " + key;
    for (VersionName name : List.of(move.from(), move.to())) {
      VersionKey version = new VersionKey(key, name);
      if (!context.configuration().usable(version)) {
        reporter.accept(Violation.of(ViolationKey.MOVE_VERSION_UNUSABLE, subject, version));
      }
    }
    Service service = context.configuration().services().get(key);
    if (service != null && !service.active().equals(move.from())) {
      reporter.accept(
          Violation.of(ViolationKey.MOVE_NOT_FROM_ACTIVE, subject, move.from(), service.active()));
    }
  }
}
