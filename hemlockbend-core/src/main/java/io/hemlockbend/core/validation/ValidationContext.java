package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.Configuration;
import java.util.Set;

/**
 * The data that a check may use besides the visited part.
 *
 * @param configuration the whole configuration
 * @param knownDomains the failure domains that have live members; empty when none are known
 */
public record ValidationContext(Configuration configuration, Set<FailureDomain> knownDomains) {

  /** Copies the set. */
  public ValidationContext {
    knownDomains = Set.copyOf(knownDomains);
  }
}
