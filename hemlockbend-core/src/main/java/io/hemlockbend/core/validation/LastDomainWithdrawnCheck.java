package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.DomainState;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that enough failure domains with live members stay in use. A domain that is being restored
 * counts as in use. Without known domains there is nothing to compare, and the check passes.
 *
 * <p>Property {@code minimum}: how many domains must stay in use; default {@link #MIN_DOMAINS}.
 *
 * <p>Example of a violation: {@code sfax} is withdrawn when {@code tunis} is withdrawn and no other
 * domain has members.
 */
public final class LastDomainWithdrawnCheck implements ConfigurationCheck {
  /** The default of how many domains must stay in use. */
  public static final long MIN_DOMAINS = 1;

  private final long minimum;

  /** Makes the check with the default. */
  public LastDomainWithdrawnCheck() {
    this(MIN_DOMAINS);
  }

  /**
   * Makes the check.
   *
   * @param minimum how many domains must stay in use
   */
  public LastDomainWithdrawnCheck(long minimum) {
    this.minimum = minimum;
  }

  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.WHOLE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    long left = context.knownDomains().stream().filter(d -> !withdrawn(d, context)).count();
    boolean anyWithdrawn = context.knownDomains().stream().anyMatch(d -> withdrawn(d, context));
    if (anyWithdrawn && left < minimum) {
      found.accept(Violation.of(ViolationKey.TOO_FEW_DOMAINS_LEFT, "configuration", left, minimum));
    }
  }

  private static boolean withdrawn(FailureDomain domain, ValidationContext context) {
    return context.configuration().domains().get(domain) instanceof DomainState.Withdrawn;
  }
}
