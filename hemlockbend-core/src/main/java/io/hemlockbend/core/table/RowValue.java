package io.hemlockbend.core.table;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Change;
import java.util.List;

/** The value of a row. */
public sealed interface RowValue {

  /**
   * The configuration in force.
   *
   * @param version its version number
   * @param digest identifies its body in the object store
   * @param commit the commit that created it
   */
  record Current(ConfigurationVersion version, Digest digest, CommitId commit)
      implements RowValue {}

  /**
   * An accepted version, kept for history and deltas.
   *
   * @param version its version number
   * @param digest identifies its body in the object store
   * @param commit the commit that created it
   * @param author the name of the operator or of the rollout controller
   * @param atMillis the time of the commit, milliseconds since the epoch
   * @param changes the changes from the previous version
   */
  record History(
      ConfigurationVersion version,
      Digest digest,
      CommitId commit,
      String author,
      long atMillis,
      List<Change> changes)
      implements RowValue {}

  /**
   * The result of a commit.
   *
   * @param commit the commit
   * @param version the version that it created, or {@link ConfigurationVersion#NONE} when the
   *     commit id was closed without an acceptance
   */
  record Committed(CommitId commit, ConfigurationVersion version) implements RowValue {}

  /**
   * Staged changes that are not committed yet.
   *
   * @param operator the operator who staged them
   * @param base the version that they are based on
   * @param changes the changes in their order
   */
  record Staged(String operator, ConfigurationVersion base, List<Change> changes)
      implements RowValue {}

  /**
   * A lease. Its holder may write until it expires; the term serves as a fencing token.
   *
   * @param holder the node that holds it
   * @param term increases with each acquisition; a write under an older term fails
   * @param expiresMillis the expiry on the clock of the holder, milliseconds since the epoch; 0
   *     once released. Candidates measure the duration on their own clocks
   */
  record Lease(NodeId holder, long term, long expiresMillis) implements RowValue {}

  /**
   * A claim to run a non-idempotent request.
   *
   * @param key the request's key
   * @param owner identifies the process that may run it
   * @param atMillis the time of the claim, milliseconds since the epoch
   */
  record Claim(IdempotencyKey key, NodeId owner, long atMillis) implements RowValue {}

  /**
   * An audit record of an operator's command.
   *
   * @param actor the name of the operator or of the rollout controller
   * @param team the actor's team
   * @param command the command
   * @param outcome the outcome of the command
   * @param atMillis the time of the command, milliseconds since the epoch
   */
  record Audit(String actor, TeamName team, String command, String outcome, long atMillis)
      implements RowValue {}
}
