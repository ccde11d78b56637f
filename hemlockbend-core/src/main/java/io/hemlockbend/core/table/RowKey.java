package io.hemlockbend.core.table;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.IdempotencyKey;

/**
 * The key of a row in the platform's table service.
 *
 * @param value a path such as {@code current} or {@code history/12}
 */
public record RowKey(String value) implements Comparable<RowKey> {
  /** The row that refers to the configuration in force. */
  public static final RowKey CURRENT = new RowKey("current");

  /** The row of the rollout controller's lease. */
  public static final RowKey ROLLOUT_LEASE = new RowKey("lease/rollout");

  /** The key prefix of staged change sets. */
  public static final String STAGED_PREFIX = "staged/";

  /** The key prefix of history rows. */
  public static final String HISTORY_PREFIX = "history/";

  /** The key prefix of audit rows. */
  public static final String AUDIT_PREFIX = "audit/";

  /** The key prefix of claims. */
  public static final String CLAIM_PREFIX = "claim/";

  /** Returns the key of the change set staged by an operator. */
  public static RowKey staged(String operator) {
    return new RowKey(STAGED_PREFIX + operator);
  }

  /** Returns the key of the history row of a version; keys sort in version order. */
  public static RowKey history(ConfigurationVersion version) {
    return new RowKey(HISTORY_PREFIX + String.format("%012d", version.value()));
  }

  /** Returns the key of the row that records the outcome of a commit. */
  public static RowKey commit(CommitId commit) {
    return new RowKey("commit/" + commit);
  }

  /** Returns the key of the claim of a non-idempotent request. */
  public static RowKey claim(IdempotencyKey key) {
    return new RowKey(CLAIM_PREFIX + key);
  }

  @Override
  public int compareTo(RowKey other) {
    return value.compareTo(other.value);
  }
}
