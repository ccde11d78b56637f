package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import java.util.HashSet;
import java.util.Set;

/** The state of one key at this process. */
final class ClaimEntry {
  private final IdempotencyKey key;
  private final RequestFingerprint fingerprint;
  private final Set<Long> ownTimestamps = new HashSet<>();
  private ClaimState state = ClaimState.ABANDONED;
  private long timestampMillis;
  private long claimedMillis;
  private long changedMillis;
  private long readDueMillis;
  private long batch;

  ClaimEntry(IdempotencyKey key, RequestFingerprint fingerprint) {
    this.key = key;
    this.fingerprint = fingerprint;
  }

  IdempotencyKey key() {
    return key;
  }

  RowKey rowKey() {
    return RowKey.claim(key);
  }

  RequestFingerprint fingerprint() {
    return fingerprint;
  }

  ClaimState state() {
    return state;
  }

  long changedMillis() {
    return changedMillis;
  }

  void transitionTo(ClaimState next, long nowMillis) {
    state = next;
    changedMillis = nowMillis;
  }

  /** Starts a claim with a timestamp that no earlier claim of this process used. */
  void claim(long uniqueTimestampMillis, long nowMillis) {
    timestampMillis = uniqueTimestampMillis;
    claimedMillis = nowMillis;
    ownTimestamps.add(uniqueTimestampMillis);
    transitionTo(ClaimState.WAITING, nowMillis);
  }

  void write(long batchNumber, long nowMillis) {
    batch = batchNumber;
    transitionTo(ClaimState.WRITING, nowMillis);
  }

  boolean writtenIn(long batchNumber) {
    return state == ClaimState.WRITING && batch == batchNumber;
  }

  void scheduleRead(long dueMillis, long nowMillis) {
    readDueMillis = dueMillis;
    transitionTo(ClaimState.TO_READ, nowMillis);
  }

  boolean readDue(long nowMillis) {
    return state == ClaimState.TO_READ && nowMillis >= readDueMillis;
  }

  boolean olderThan(long ageMillis, long nowMillis) {
    return nowMillis - claimedMillis > ageMillis;
  }

  RowValue.Claim row(NodeId holder) {
    return new RowValue.Claim(key, holder, timestampMillis);
  }

  /** Returns whether this process wrote the row for a claim of this entry, which has not run. */
  boolean wrote(RowValue value, NodeId holder) {
    return value instanceof RowValue.Claim claim
        && claim.owner().equals(holder)
        && ownTimestamps.contains(claim.atMillis());
  }
}
