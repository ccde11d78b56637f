package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.table.Condition;
import java.util.List;
import java.util.Set;

/**
 * The parameters of a commit other than its changes.
 *
 * @param commit identifies the commit, also when it is resent
 * @param author the author of the commit
 * @param nowMillis the time of the commit, milliseconds since the epoch
 * @param knownDomains the failure domains that have live members
 * @param extra additional conditions of the transaction, such as the lease of the rollout
 *     controller
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
