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
 * Claims idempotency keys in the platform's table, beside one upstream, and remembers what became
 * of their requests.
 *
 * <p>A key is handed out to run at most once in the mesh: only after its row was written under the
 * condition that none was there, by this very process, and never again once it was handed out. A
 * row is never taken back, so that no pause of the holder can make its claim void; a claim that is
 * too old when its answer is processed is not run all the same, since its caller has gone. A lost
 * answer is settled by reading the row back. A write that takes effect later than that leaves a row
 * that nobody runs: resends elsewhere are told "may have run", which is safe.
 *
 * <p>Driven by one thread: {@link #poll} and {@link #readsDue} say what to ask of the table, {@link
 * #settled} and {@link #readBack} take its answers, late and doubled ones too.
 */
public final class ClaimLedger {
  private static final long READ_RETRY_MILLIS = 100;

  private record Batch(long number, List<ClaimEntry> claims, long sentMillis) {}

  private final ClaimSettings settings;
  private final NodeId holder;
  private final PlatformHealth health = new PlatformHealth();
  private final AnswerStore answers;
  private final Map<IdempotencyKey, ClaimEntry> entries = new HashMap<>();
  private final Map<IdempotencyKey, ClaimEntry> pending = new LinkedHashMap<>();
  private final Deque<ClaimEntry> waiting = new ArrayDeque<>();
  private final Map<IdempotencyKey, ClaimEntry> settled = new LinkedHashMap<>();
  private final Map<Long, Batch> batches = new LinkedHashMap<>();
  private long lastBatch;
  private long lastStampMillis;

  /**
   * Makes an empty ledger.
   *
   * @param settings the bounds
   * @param holder names this very process in claim rows: never the same for another process, nor
   *     for another start of this node's
   */
  public ClaimLedger(ClaimSettings settings, NodeId holder) {
    this.settings = settings;
    this.holder = holder;
    this.answers = new AnswerStore(settings);
  }

  /** Decides on a request with an idempotency key that has a slot or a place in the queue. */
  public ClaimDecision begin(IdempotencyKey key, RequestFingerprint fingerprint, long nowMillis) {
    ClaimEntry known = entries.get(key);
    if (known != null && !known.fingerprint().equals(fingerprint)) {
      return new ClaimDecision.KeyReused();
    }
    if (known != null && known.state() != ClaimState.ABANDONED) {
      return resend(known);
    }
    if (pending.size() >= settings.maxPending()) {
      return new ClaimDecision.Unavailable(ClaimRefusal.TOO_MANY_CLAIMS);
    }
    if (!health.mayTry(nowMillis)) {
      return new ClaimDecision.Unavailable(ClaimRefusal.PLATFORM_AWAY);
    }
    ClaimEntry entry = known == null ? new ClaimEntry(key, fingerprint) : known;
    lastStampMillis = Math.max(nowMillis, lastStampMillis + 1);
    entry.claim(lastStampMillis, nowMillis);
    entries.put(key, entry);
    settled.remove(key);
    pending.put(key, entry);
    waiting.addLast(entry);
    return new ClaimDecision.RunAfterClaim(key);
  }

  /** Returns the next transaction to send, when one is due. */
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

  /** Takes in what is known of a transaction; a second answer to the same one changes nothing. */
  public List<ClaimResolution> settled(long number, BatchOutcome outcome, long nowMillis) {
    Batch batch = batches.remove(number);
    if (batch == null) {
      return List.of();
    }
    List<ClaimEntry> claims =
        batch.claims().stream().filter(entry -> entry.writtenIn(number)).toList();
    return switch (outcome) {
      case BatchOutcome.Answered(TransactionOutcome answer) -> answered(claims, answer, nowMillis);
      case BatchOutcome.NotApplied _ -> {
        health.failed(nowMillis);
        yield abandonAll(claims, ClaimRefusal.PLATFORM_AWAY, nowMillis);
      }
      case BatchOutcome.Unknown _ -> {
        health.failed(nowMillis);
        claims.forEach(entry -> entry.readFrom(nowMillis, nowMillis));
        yield List.of();
      }
    };
  }

  /** Returns the keys whose rows must be read back; each is named until it is settled. */
  public List<IdempotencyKey> readsDue(long nowMillis) {
    List<IdempotencyKey> due = new ArrayList<>();
    for (ClaimEntry entry : pending.values()) {
      if (entry.readDue(nowMillis)) {
        entry.become(ClaimState.READING, nowMillis);
        due.add(entry.key());
      }
    }
    return due;
  }

  /** Takes in what is known of a row that was read back. */
  public Optional<ClaimResolution> readBack(
      IdempotencyKey key, ReadOutcome outcome, long nowMillis) {
    ClaimEntry entry = pending.get(key);
    if (entry == null || entry.state() != ClaimState.READING) {
      return Optional.empty();
    }
    return switch (outcome) {
      case ReadOutcome.Failed _ -> {
        health.failed(nowMillis);
        entry.readFrom(nowMillis + READ_RETRY_MILLIS, nowMillis);
        yield Optional.empty();
      }
      case ReadOutcome.Read read -> {
        health.answered();
        yield Optional.of(settle(entry, read, nowMillis));
      }
    };
  }

  /** Notes that a request was answered whole, whatever the status. */
  public void finished(IdempotencyKey key, StoredAnswer answer, long nowMillis) {
    if (ended(key, ClaimState.FINISHED, nowMillis)) {
      answers.keep(key, answer);
    }
  }

  /** Notes that a request was answered whole and its answer is too large to keep. */
  public void finished(IdempotencyKey key, long nowMillis) {
    ended(key, ClaimState.FINISHED, nowMillis);
  }

  /** Notes that a request was sent to the upstream and its whole answer did not come. */
  public void broken(IdempotencyKey key, long nowMillis) {
    ended(key, ClaimState.UNSETTLED, nowMillis);
  }

  /** Notes that no byte of a request handed out to run went to the upstream, nor will. */
  public void notSent(IdempotencyKey key, long nowMillis) {
    ended(key, ClaimState.ABANDONED, nowMillis);
  }

  /** Gives up a claim that still waits, since its caller has gone; true when it has not run. */
  public boolean abandon(IdempotencyKey key, long nowMillis) {
    ClaimEntry entry = pending.get(key);
    if (entry == null) {
      return false;
    }
    leavePending(entry, ClaimState.ABANDONED, nowMillis);
    return true;
  }

  /**
   * Gives up claims and transactions that waited too long, and forgets requests settled long ago.
   */
  public List<ClaimResolution> expire(long nowMillis) {
    List<ClaimEntry> old =
        pending.values().stream()
            .filter(entry -> entry.olderThan(settings.maxClaimAgeMillis(), nowMillis))
            .toList();
    batches
        .values()
        .removeIf(batch -> nowMillis - batch.sentMillis() > settings.maxClaimAgeMillis());
    forgetSettled(nowMillis);
    return abandonAll(old, ClaimRefusal.CLAIM_TOO_OLD, nowMillis);
  }

  private ClaimDecision resend(ClaimEntry entry) {
    return switch (entry.state()) {
      case WAITING, WRITING, TO_READ, READING, RUNNING -> new ClaimDecision.InProgress();
      case FINISHED -> {
        StoredAnswer answer = answers.answer(entry.key());
        yield answer == null ? new ClaimDecision.HasRun() : new ClaimDecision.Replay(answer);
      }
      case UNSETTLED -> new ClaimDecision.MayHaveRun();
      case ABANDONED -> throw new IllegalStateException("an abandoned key is claimed anew");
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

  private List<ClaimResolution> answered(
      List<ClaimEntry> claims, TransactionOutcome answer, long nowMillis) {
    health.answered();
    List<ClaimResolution> resolutions = new ArrayList<>();
    switch (answer) {
      case TransactionOutcome.Applied _ ->
          claims.forEach(entry -> resolutions.add(mine(entry, nowMillis)));
      case TransactionOutcome.Conflicted(List<RowKey> failed) ->
          split(claims, new HashSet<>(failed), nowMillis);
    }
    return resolutions;
  }

  /** Reads back the keys that were taken and sends the others again. */
  private void split(List<ClaimEntry> claims, Set<RowKey> failed, long nowMillis) {
    for (ClaimEntry entry : claims) {
      if (failed.contains(entry.rowKey())) {
        entry.readFrom(nowMillis, nowMillis);
      } else {
        entry.become(ClaimState.WAITING, nowMillis);
        waiting.addLast(entry);
      }
    }
  }

  private ClaimResolution settle(ClaimEntry entry, ReadOutcome.Read read, long nowMillis) {
    if (read.row().isEmpty()) {
      return abandoned(entry, ClaimRefusal.NOT_WRITTEN, nowMillis);
    }
    if (entry.wrote(read.row().get().value(), holder)) {
      return mine(entry, nowMillis);
    }
    leavePending(entry, ClaimState.UNSETTLED, nowMillis);
    return new ClaimResolution.MayHaveRun(entry.key());
  }

  private ClaimResolution mine(ClaimEntry entry, long nowMillis) {
    if (entry.olderThan(settings.maxClaimAgeMillis(), nowMillis)) {
      return abandoned(entry, ClaimRefusal.CLAIM_TOO_OLD, nowMillis);
    }
    leavePending(entry, ClaimState.RUNNING, nowMillis);
    return new ClaimResolution.Run(entry.key());
  }

  private List<ClaimResolution> abandonAll(
      List<ClaimEntry> claims, ClaimRefusal reason, long nowMillis) {
    List<ClaimResolution> resolutions = new ArrayList<>(claims.size());
    claims.forEach(entry -> resolutions.add(abandoned(entry, reason, nowMillis)));
    return resolutions;
  }

  private ClaimResolution abandoned(ClaimEntry entry, ClaimRefusal reason, long nowMillis) {
    leavePending(entry, ClaimState.ABANDONED, nowMillis);
    return new ClaimResolution.NotRun(entry.key(), reason);
  }

  private void leavePending(ClaimEntry entry, ClaimState next, long nowMillis) {
    waiting.remove(entry);
    pending.remove(entry.key());
    become(entry, next, nowMillis);
  }

  private void become(ClaimEntry entry, ClaimState next, long nowMillis) {
    entry.become(next, nowMillis);
    if (next != ClaimState.RUNNING) {
      settled.put(entry.key(), entry);
    }
  }

  private boolean ended(IdempotencyKey key, ClaimState next, long nowMillis) {
    ClaimEntry entry = entries.get(key);
    if (entry == null || entry.state() != ClaimState.RUNNING) {
      return false;
    }
    become(entry, next, nowMillis);
    return true;
  }

  private void forgetSettled(long nowMillis) {
    for (Iterator<ClaimEntry> oldest = settled.values().iterator(); oldest.hasNext(); ) {
      ClaimEntry entry = oldest.next();
      boolean old = nowMillis - entry.changedMillis() > settings.keepMillis();
      if (!old && settled.size() <= settings.maxRemembered()) {
        return;
      }
      oldest.remove();
      entries.remove(entry.key());
      answers.remove(entry.key());
    }
  }
}
