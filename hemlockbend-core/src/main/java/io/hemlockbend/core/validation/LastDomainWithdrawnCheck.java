package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.DomainState;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that enough failure domains with live members stay in use. A domain that is being restored
 * counts as in use. The check passes when no domains are known.
 *
 * <p>Property {@code minimum}: the minimum number of domains in use; default {@link #MIN_DOMAINS}.
 *
 * <p>Example of a violation: {@code sfax} is withdrawn while {@code tunis} is withdrawn and no
 * other domain has live members.
 */
public final class LastDomainWithdrawnCheck implements ConfigurationCheck {
  /** The default minimum number of domains in use. */
  public static final long MIN_DOMAINS = 1;

  private final long minimum;

  /** Creates the check with the default. */
  public LastDomainWithdrawnCheck() {
    this(MIN_DOMAINS);
  }

  /**
   * Creates the check.
   *
   * @param minimum the minimum number of domains in use
   */
  public LastDomainWithdrawnCheck(long minimum) {
    this.minimum = minimum;
  }

  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    long inUse = context.knownDomains().stream().filter(d -> !withdrawn(d, context)).count();
    boolean anyWithdrawn = context.knownDomains().stream().anyMatch(d -> withdrawn(d, context));
    if (anyWithdrawn && inUse < minimum) {
      reporter.accept(
          Violation.of(ViolationKey.TOO_FEW_DOMAINS_LEFT, "configuration", inUse, minimum));
    }
  }

  private static boolean withdrawn(FailureDomain domain, ValidationContext context) {
    return context.configuration().domains().get(domain) instanceof DomainState.Withdrawn;
  }
}
