package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import java.util.HashSet;
import java.util.Set;

/** What this process knows of one key. */
final class ClaimEntry {
  private final IdempotencyKey key;
  private final RequestFingerprint fingerprint;
  private final Set<Long> ownStamps = new HashSet<>();
  private ClaimState state = ClaimState.ABANDONED;
  private long stampMillis;
  private long claimedMillis;
  private long changedMillis;
  private long readAtMillis;
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

  void become(ClaimState next, long nowMillis) {
    state = next;
    changedMillis = nowMillis;
  }

  /** Starts a claim under a stamp that no earlier claim of this process had. */
  void claim(long uniqueStampMillis, long nowMillis) {
    stampMillis = uniqueStampMillis;
    claimedMillis = nowMillis;
    ownStamps.add(uniqueStampMillis);
    become(ClaimState.WAITING, nowMillis);
  }

  void write(long batchNumber, long nowMillis) {
    batch = batchNumber;
    become(ClaimState.WRITING, nowMillis);
  }

  boolean writtenIn(long batchNumber) {
    return state == ClaimState.WRITING && batch == batchNumber;
  }

  void readFrom(long millis, long nowMillis) {
    readAtMillis = millis;
    become(ClaimState.TO_READ, nowMillis);
  }

  boolean readDue(long nowMillis) {
    return state == ClaimState.TO_READ && nowMillis >= readAtMillis;
  }

  boolean olderThan(long ageMillis, long nowMillis) {
    return nowMillis - claimedMillis > ageMillis;
  }

  RowValue.Claim row(NodeId holder) {
    return new RowValue.Claim(key, holder, stampMillis);
  }

  /** Returns whether a row was written by this process for this key, and the key never run. */
  boolean wrote(RowValue value, NodeId holder) {
    return value instanceof RowValue.Claim claim
        && claim.owner().equals(holder)
        && ownStamps.contains(claim.atMillis());
  }
}
