package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.DomainState;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that a failure domain is restored over a time in range, neither at once nor endlessly.
 *
 * <p>Property {@code maxMillis}: the longest ramp; default {@link #MAX_RAMP_MILLIS}.
 *
 * <p>Example of a violation: failure domain {@code tunis} is restored over 0 ms.
 */
public final class RestoreRampCheck implements ConfigurationCheck {
  /** The default of the longest ramp: 1 hour. */
  public static final long MAX_RAMP_MILLIS = 60L * 60 * 1000;

  private final long maxMillis;

  /** Makes the check with the default. */
  public RestoreRampCheck() {
    this(MAX_RAMP_MILLIS);
  }

  /**
   * Makes the check.
   *
   * @param maxMillis the longest ramp
   */
  public RestoreRampCheck(long maxMillis) {
    this.maxMillis = maxMillis;
  }

  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.DOMAIN);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    if (part
            instanceof
            ConfigurationPart.DomainPart(FailureDomain key, DomainState.Restoring restoring)
        && (restoring.rampMillis() < 1 || restoring.rampMillis() > maxMillis)) {
      found.accept(
          Violation.of(
              ViolationKey.RESTORE_RAMP_OUT_OF_RANGE,
              "failure domain " + key,
              restoring.rampMillis(),
              maxMillis));
    }
  }
}
