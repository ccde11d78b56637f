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
 * @param extraConditions additional conditions of the transaction, such as the lease of the rollout
 *     controller
 */
public record CommitRequest(
    CommitId commit,
    Author author,
    long nowMillis,
    Set<FailureDomain> knownDomains,
    List<Condition> extraConditions) {

  /** Copies the collections. */
  public CommitRequest {
    knownDomains = Set.copyOf(knownDomains);
    extraConditions = List.copyOf(extraConditions);
  }
}
