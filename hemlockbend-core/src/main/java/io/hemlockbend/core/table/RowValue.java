package io.hemlockbend.core.table;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Change;
import java.util.List;

/** What a row of the table holds. */
public sealed interface RowValue {

  /**
   * The configuration in force.
   *
   * @param version its number
   * @param digest names its body in the object store
   * @param commit the commit that made it
   */
  record Current(ConfigurationVersion version, Digest digest, CommitId commit)
      implements RowValue {}

  /**
   * An accepted version, kept for history and deltas.
   *
   * @param version its number
   * @param digest names its body in the object store
   * @param commit the commit that made it
   * @param author the operator, or the controller
   * @param atMillis when, milliseconds since the epoch
   * @param changes what it changed
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
   * What a commit became.
   *
   * @param commit the commit
   * @param version the version that it made
   */
  record Committed(CommitId commit, ConfigurationVersion version) implements RowValue {}

  /**
   * Changes that wait for their commit.
   *
   * @param operator who stages them
   * @param base the version that they were staged against
   * @param changes the changes in their order
   */
  record Staged(String operator, ConfigurationVersion base, List<Change> changes)
      implements RowValue {}

  /**
   * A lease; its holder may write under its term until it expires.
   *
   * @param holder the node that holds it
   * @param term counts the holders; a write under an older term fails
   * @param expiresMillis when another node may take it, milliseconds since the epoch
   */
  record Lease(NodeId holder, long term, long expiresMillis) implements RowValue {}

  /**
   * A claim to run a request that may not be repeated.
   *
   * @param key the request's key
   * @param owner the node that may run it
   * @param atMillis when it was claimed, milliseconds since the epoch
   */
  record Claim(IdempotencyKey key, NodeId owner, long atMillis) implements RowValue {}

  /**
   * What an operator did.
   *
   * @param actor who
   * @param team for which team
   * @param command the command
   * @param outcome what became of it
   * @param atMillis when, milliseconds since the epoch
   */
  record Audit(String actor, TeamName team, String command, String outcome, long atMillis)
      implements RowValue {}
}
