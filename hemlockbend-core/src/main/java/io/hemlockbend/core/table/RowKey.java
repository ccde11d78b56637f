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
  /** The row that names the configuration in force. */
  public static final RowKey CURRENT = new RowKey("current");

  /** The row of the rollout controller's lease. */
  public static final RowKey ROLLOUT_LEASE = new RowKey("lease/rollout");

  /** What the keys of staged change sets start with. */
  public static final String STAGED_PREFIX = "staged/";

  /** What the keys of history rows start with. */
  public static final String HISTORY_PREFIX = "history/";

  /** What the keys of audit rows start with. */
  public static final String AUDIT_PREFIX = "audit/";

  /** What the keys of claims start with. */
  public static final String CLAIM_PREFIX = "claim/";

  /** Returns the key of a staged change set, by the name of the operator who stages it. */
  public static RowKey staged(String operator) {
    return new RowKey(STAGED_PREFIX + operator);
  }

  /** Returns the key of the history row of a version; keys sort as versions do. */
  public static RowKey history(ConfigurationVersion version) {
    return new RowKey(HISTORY_PREFIX + String.format("%012d", version.value()));
  }

  /** Returns the key of the row that proves that a commit was accepted. */
  public static RowKey commit(CommitId commit) {
    return new RowKey("commit/" + commit);
  }

  /** Returns the key of the claim of a request that may not be repeated. */
  public static RowKey claim(IdempotencyKey key) {
    return new RowKey(CLAIM_PREFIX + key);
  }

  @Override
  public int compareTo(RowKey other) {
    return value.compareTo(other.value);
  }
}
