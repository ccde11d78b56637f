package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.DomainState;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that a failure domain is restored neither at once nor endlessly: its ramp is 1 ms to
 * {@code maxMillis} long.
 *
 * <p>Property {@code maxMillis}: the maximum length of the ramp; default {@link #MAX_RAMP_MILLIS}.
 *
 * <p>Example of a violation: failure domain {@code tunis} is restored over 0 ms.
 */
public final class RestoreRampCheck implements ConfigurationCheck {
  /** The default maximum length of the ramp: 1 hour. */
  public static final long MAX_RAMP_MILLIS = 60L * 60 * 1000;

  private final long maxMillis;

  /** Creates the check with the default. */
  public RestoreRampCheck() {
    this(MAX_RAMP_MILLIS);
  }

  /**
   * Creates the check.
   *
   * @param maxMillis the maximum length of the ramp
   */
  public RestoreRampCheck(long maxMillis) {
    this.maxMillis = maxMillis;
  }

  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.DOMAIN);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (part
            instanceof
            ConfigurationPart.DomainPart(FailureDomain key, DomainState.Restoring restoring)
        && (restoring.rampMillis() < 1 || restoring.rampMillis() > maxMillis)) {
      reporter.accept(
          Violation.of(
              ViolationKey.RESTORE_RAMP_OUT_OF_RANGE,
              "failure domain " + key,
              restoring.rampMillis(),
              maxMillis));
    }
  }
}
