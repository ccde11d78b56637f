package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.table.Condition;
import java.util.List;
import java.util.Set;

/**
 * What a commit is to obey besides its changes.
 *
 * @param commit identifies the commit over all its resends
 * @param author who commits
 * @param nowMillis when, milliseconds since the epoch
 * @param knownDomains the failure domains that have live members
 * @param extra conditions that must hold too, such as the lease of the rollout controller
 */
public record CommitOrder(
    CommitId commit,
    Author author,
    long nowMillis,
    Set<FailureDomain> knownDomains,
    List<Condition> extra) {

  /** Copies the collections. */
  public CommitOrder {
    knownDomains = Set.copyOf(knownDomains);
    extra = List.copyOf(extra);
  }
}
