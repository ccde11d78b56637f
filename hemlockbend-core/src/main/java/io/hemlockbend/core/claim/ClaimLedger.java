package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Claims idempotency keys in the platform's table on behalf of one upstream and records the
 * outcomes of their requests.
 *
 * <p>A key is released to run at most once in the mesh: only after this process wrote its row on
 * condition that no row existed, and never again once it was released, unless {@link #notSent}
 * reported that nothing was sent. A row is never revoked, so a pause of the holder cannot
 * invalidate its claim. A claim that is too old when its response is processed is still not run,
 * since its caller no longer waits. A lost response is resolved by reading the row back. A write
 * that is applied after the read leaves a row whose request runs only under a new claim of this
 * process; resends through other nodes are answered "may have run", which is safe.
 *
 * <p>Driven by one thread: {@link #poll} and {@link #readsDue} return the operations to send to the
 * table; {@link #settled} and {@link #readBack} process its responses, including late and duplicate
 * ones.
 */
public final class ClaimLedger {
  private static final long READ_RETRY_MILLIS = 100;

  private record Batch(long number, List<ClaimEntry> claims, long sentMillis) {}

  private final ClaimSettings settings;
  private final NodeId holder;
  private final PlatformCircuitBreaker circuitBreaker = new PlatformCircuitBreaker();
  private final ResponseStore responses;
  private final Map<IdempotencyKey, ClaimEntry> entries = new HashMap<>();
  private final Map<IdempotencyKey, ClaimEntry> pending = new LinkedHashMap<>();
  private final Deque<ClaimEntry> waiting = new ArrayDeque<>();
  private final Map<IdempotencyKey, ClaimEntry> settled = new LinkedHashMap<>();
  private final Map<Long, Batch> batches = new LinkedHashMap<>();
  private long lastBatch;
  private long lastTimestampMillis;

  /**
   * Creates an empty ledger.
   *
   * @param settings the limits
   * @param holder identifies this process in claim rows; must differ between processes and between
   *     starts of the same node
   */
  public ClaimLedger(ClaimSettings settings, NodeId holder) {
    this.settings = settings;
    this.holder = holder;
    this.responses = new ResponseStore(settings);
  }

  /** Decides on a request with an idempotency key that holds a slot or is queued. */
  public ClaimDecision begin(IdempotencyKey key, RequestFingerprint fingerprint, long nowMillis) {
    ClaimEntry known = entries.get(key);
    if (known != null && !known.fingerprint().equals(fingerprint)) {
      return new ClaimDecision.KeyReused();
    }
    if (known != null && known.state() != ClaimState.ABANDONED) {
      return decideResend(known);
    }
    if (pending.size() >= settings.maxPending()) {
      return new ClaimDecision.Unavailable(ClaimRefusal.TOO_MANY_CLAIMS);
    }
    if (!circuitBreaker.allowsClaim(nowMillis)) {
      return new ClaimDecision.Unavailable(ClaimRefusal.PLATFORM_AWAY);
    }
    ClaimEntry entry = known == null ? new ClaimEntry(key, fingerprint) : known;
    lastTimestampMillis = Math.max(nowMillis, lastTimestampMillis + 1);
    entry.claim(lastTimestampMillis, nowMillis);
    entries.put(key, entry);
    settled.remove(key);
    pending.put(key, entry);
    waiting.addLast(entry);
    return new ClaimDecision.RunAfterClaim(key);
  }

  /** Returns the next batch to send, or empty when none is due. */
  public Optional<ClaimBatch> poll(long nowMillis) {
    ClaimEntry oldest = waiting.peekFirst();
    if (oldest == null || batches.size() >= settings.maxBatchesInFlight()) {
      return Optional.empty();
    }
    boolean full = waiting.size() >= settings.maxBatchRows();
    if (!full && nowMillis - oldest.changedMillis() < settings.batchWindowMillis()) {
      return Optional.empty();
    }
    Batch batch = new Batch(++lastBatch, new ArrayList<>(), nowMillis);
    while (batch.claims().size() < settings.maxBatchRows() && !waiting.isEmpty()) {
      ClaimEntry entry = waiting.removeFirst();
      entry.write(batch.number(), nowMillis);
      batch.claims().add(entry);
    }
    batches.put(batch.number(), batch);
    return Optional.of(new ClaimBatch(batch.number(), transaction(batch.claims())));
  }

  /** Processes the outcome of a batch; further outcomes of the same batch are ignored. */
  public List<ClaimResolution> settled(long number, BatchOutcome outcome, long nowMillis) {
    Batch batch = batches.remove(number);
    if (batch == null) {
      return List.of();
    }
    List<ClaimEntry> claims =
        batch.claims().stream().filter(entry -> entry.writtenIn(number)).toList();
    return switch (outcome) {
      case BatchOutcome.Answered(TransactionOutcome response) ->
          applyResponse(claims, response, nowMillis);
      case BatchOutcome.NotApplied _ -> {
        circuitBreaker.recordFailure(nowMillis);
        yield abandonAll(claims, ClaimRefusal.PLATFORM_AWAY, nowMillis);
      }
      case BatchOutcome.Unknown _ -> {
        circuitBreaker.recordFailure(nowMillis);
        claims.forEach(entry -> entry.scheduleRead(nowMillis, nowMillis));
        yield List.of();
      }
    };
  }

  /** Returns the keys whose rows must be read back now; a key is returned again after a failure. */
  public List<IdempotencyKey> readsDue(long nowMillis) {
    List<IdempotencyKey> due = new ArrayList<>();
    for (ClaimEntry entry : pending.values()) {
      if (entry.readDue(nowMillis)) {
        entry.transitionTo(ClaimState.READING, nowMillis);
        due.add(entry.key());
      }
    }
    return due;
  }

  /** Processes the outcome of reading a row back. */
  public Optional<ClaimResolution> readBack(
      IdempotencyKey key, ReadOutcome outcome, long nowMillis) {
    ClaimEntry entry = pending.get(key);
    if (entry == null || entry.state() != ClaimState.READING) {
      return Optional.empty();
    }
    return switch (outcome) {
      case ReadOutcome.Failed _ -> {
        circuitBreaker.recordFailure(nowMillis);
        entry.scheduleRead(nowMillis + READ_RETRY_MILLIS, nowMillis);
        yield Optional.empty();
      }
      case ReadOutcome.Read read -> {
        circuitBreaker.recordSuccess();
        yield Optional.of(resolveRead(entry, read, nowMillis));
      }
    };
  }

  /** Records that the complete response to a request was received, with any status. */
  public void finished(IdempotencyKey key, StoredResponse response, long nowMillis) {
    if (endRun(key, ClaimState.FINISHED, nowMillis)) {
      responses.put(key, response);
    }
  }

  /** Records that a complete response was received that is too large to store. */
  public void finished(IdempotencyKey key, long nowMillis) {
    endRun(key, ClaimState.FINISHED, nowMillis);
  }

  /** Records that a request was sent to the upstream and no complete response was received. */
  public void incomplete(IdempotencyKey key, long nowMillis) {
    endRun(key, ClaimState.UNSETTLED, nowMillis);
  }

  /** Records that no byte of a request released to run was or will be sent to the upstream. */
  public void notSent(IdempotencyKey key, long nowMillis) {
    endRun(key, ClaimState.ABANDONED, nowMillis);
  }

  /**
   * Cancels a pending claim when its caller has disconnected; returns whether it was pending, so
   * that its request has not run.
   */
  public boolean abandon(IdempotencyKey key, long nowMillis) {
    ClaimEntry entry = pending.get(key);
    if (entry == null) {
      return false;
    }
    removePending(entry, ClaimState.ABANDONED, nowMillis);
    return true;
  }

  /**
   * Cancels claims and batches that exceed the maximum age and evicts requests settled long ago.
   */
  public List<ClaimResolution> expire(long nowMillis) {
    List<ClaimEntry> expired =
        pending.values().stream()
            .filter(entry -> entry.olderThan(settings.maxClaimAgeMillis(), nowMillis))
            .toList();
    batches
        .values()
        .removeIf(batch -> nowMillis - batch.sentMillis() > settings.maxClaimAgeMillis());
    evictSettled(nowMillis);
    return abandonAll(expired, ClaimRefusal.CLAIM_TOO_OLD, nowMillis);
  }

  private ClaimDecision decideResend(ClaimEntry entry) {
    return switch (entry.state()) {
      case WAITING, WRITING, TO_READ, READING, RUNNING -> new ClaimDecision.InProgress();
      case FINISHED -> {
        StoredResponse response = responses.get(entry.key());
        yield response == null ? new ClaimDecision.HasRun() : new ClaimDecision.Replay(response);
      }
      case UNSETTLED -> new ClaimDecision.MayHaveRun();
      case ABANDONED -> throw new IllegalStateException("an abandoned key must be claimed again");
    };
  }

  private Transaction transaction(List<ClaimEntry> batch) {
    List<Condition> conditions = new ArrayList<>(batch.size());
    List<RowWrite> writes = new ArrayList<>(batch.size());
    for (ClaimEntry entry : batch) {
      conditions.add(new Condition.Absent(entry.rowKey()));
      writes.add(new RowWrite.Put(entry.rowKey(), entry.row(holder)));
    }
    return new Transaction(conditions, writes);
  }

  private List<ClaimResolution> applyResponse(
      List<ClaimEntry> claims, TransactionOutcome response, long nowMillis) {
    circuitBreaker.recordSuccess();
    List<ClaimResolution> resolutions = new ArrayList<>();
    switch (response) {
      case TransactionOutcome.Applied _ ->
          claims.forEach(entry -> resolutions.add(acquired(entry, nowMillis)));
      case TransactionOutcome.Conflicted(List<RowKey> failed) ->
          handleConflict(claims, new HashSet<>(failed), nowMillis);
    }
    return resolutions;
  }

  /** Schedules a read of the keys that have a row and queues the others for another batch. */
  private void handleConflict(List<ClaimEntry> claims, Set<RowKey> failed, long nowMillis) {
    for (ClaimEntry entry : claims) {
      if (failed.contains(entry.rowKey())) {
        entry.scheduleRead(nowMillis, nowMillis);
      } else {
        entry.transitionTo(ClaimState.WAITING, nowMillis);
        waiting.addLast(entry);
      }
    }
  }

  private ClaimResolution resolveRead(ClaimEntry entry, ReadOutcome.Read read, long nowMillis) {
    if (read.row().isEmpty()) {
      return abandoned(entry, ClaimRefusal.NOT_WRITTEN, nowMillis);
    }
    if (entry.wrote(read.row().get().value(), holder)) {
      return acquired(entry, nowMillis);
    }
    removePending(entry, ClaimState.UNSETTLED, nowMillis);
    return new ClaimResolution.MayHaveRun(entry.key());
  }

  private ClaimResolution acquired(ClaimEntry entry, long nowMillis) {
    if (entry.olderThan(settings.maxClaimAgeMillis(), nowMillis)) {
      return abandoned(entry, ClaimRefusal.CLAIM_TOO_OLD, nowMillis);
    }
    removePending(entry, ClaimState.RUNNING, nowMillis);
    return new ClaimResolution.Run(entry.key());
  }

  private List<ClaimResolution> abandonAll(
      List<ClaimEntry> claims, ClaimRefusal reason, long nowMillis) {
    List<ClaimResolution> resolutions = new ArrayList<>(claims.size());
    claims.forEach(entry -> resolutions.add(abandoned(entry, reason, nowMillis)));
    return resolutions;
  }

  private ClaimResolution abandoned(ClaimEntry entry, ClaimRefusal reason, long nowMillis) {
    removePending(entry, ClaimState.ABANDONED, nowMillis);
    return new ClaimResolution.NotRun(entry.key(), reason);
  }

  private void removePending(ClaimEntry entry, ClaimState next, long nowMillis) {
    waiting.remove(entry);
    pending.remove(entry.key());
    transition(entry, next, nowMillis);
  }

  private void transition(ClaimEntry entry, ClaimState next, long nowMillis) {
    entry.transitionTo(next, nowMillis);
    if (next != ClaimState.RUNNING) {
      settled.put(entry.key(), entry);
    }
  }

  private boolean endRun(IdempotencyKey key, ClaimState next, long nowMillis) {
    ClaimEntry entry = entries.get(key);
    if (entry == null || entry.state() != ClaimState.RUNNING) {
      return false;
    }
    transition(entry, next, nowMillis);
    return true;
  }

  private void evictSettled(long nowMillis) {
    for (Iterator<ClaimEntry> oldest = settled.values().iterator(); oldest.hasNext(); ) {
      ClaimEntry entry = oldest.next();
      boolean expired = nowMillis - entry.changedMillis() > settings.settledRetentionMillis();
      if (!expired && settled.size() <= settings.maxSettledEntries()) {
        return;
      }
      oldest.remove();
      entries.remove(entry.key());
      responses.remove(entry.key());
    }
  }
}
