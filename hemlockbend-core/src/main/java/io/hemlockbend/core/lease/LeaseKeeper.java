package io.hemlockbend.core.lease;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * State machine that acquires, renews and releases the rollout lease. Its driver calls {@link
 * #poll} for the next request, sends it to the table and passes the answer back.
 *
 * <p>Safety depends only on the table and on no clock: each write is conditional on the revision
 * that was read, so that two nodes never hold the same revision, and {@link HeldLease#condition()}
 * makes each write of a replaced holder fail.
 *
 * <p>Clocks only decide when to act. A candidate acquires a lease whose row it saw unchanged for
 * {@link #DURATION_MILLIS} and {@link #GUARD_MILLIS} on its own clock, so the offset between clocks
 * does not matter; a holder that still acts is replaced only when clock rates differ by more than
 * {@code GUARD_MILLIS / DURATION_MILLIS}. The holder counts its time from before it sent the write.
 * The protocol follows Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
 * distributed file cache consistency", 1989, with the term as the fencing token.
 */
public final class LeaseKeeper {
  /** Duration of a lease without renewal. */
  public static final long DURATION_MILLIS = 15_000;

  /**
   * Safety margin: the holder stops acting this long before the lease expires, and a candidate
   * waits this much longer than its duration.
   */
  public static final long GUARD_MILLIS = 1_500;

  /** Renewal interval of the holder. */
  public static final long RENEW_MILLIS = 4_000;

  /** Mean interval at which a candidate reads the row. */
  public static final long READ_MILLIS = 2_000;

  /** Timeout after which a request counts as failed. */
  public static final long REQUEST_TIMEOUT_MILLIS = 4_000;

  /** Upper bound of the back-off after failed requests. */
  public static final long MAX_BACKOFF_MILLIS = 8_000;

  private static final long MIN_BACKOFF_MILLIS = 250;
  private static final long ACQUIRE_JITTER_MILLIS = 300;
  private static final long RELEASED_EXPIRES_MILLIS = 0;

  private final NodeId self;
  private final RandomGenerator random;
  private boolean candidate;
  private long lastId;
  private Pending pending;
  private Attempt attempt;
  private HeldLease held;
  private Row lastRow;
  private long unchangedSinceMillis;
  private boolean acquirable;
  private long nextMillis;
  private int consecutiveFailures;

  /**
   * Creates a keeper that is not yet a candidate.
   *
   * @param self this node
   * @param random source of the jitter that spreads the candidates' reads, acquisitions and retries
   */
  public LeaseKeeper(NodeId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /**
   * Sets whether this node may hold the lease. A holder that is no longer a candidate releases it.
   *
   * @param eligible whether {@link LeaseCandidates} selected this node
   */
  public void candidate(boolean eligible) {
    candidate = eligible;
  }

  /**
   * Returns the lease if this node holds it and may act on it now. Empty during a renewal, since
   * the revision is unknown then, and after expiry.
   *
   * @param nowMillis the time on this node's clock
   */
  public Optional<HeldLease> held(long nowMillis) {
    boolean changing = attempt != null;
    return Optional.ofNullable(held)
        .filter(lease -> !changing && nowMillis < lease.validUntilMillis());
  }

  /**
   * Returns whether less than half of the lease duration is left. A renewal makes a concurrent
   * commit under the lease fail, so the driver renews during a commit only if this is true.
   *
   * @param nowMillis the time on this node's clock
   */
  public boolean renewalUrgent(long nowMillis) {
    return held == null || held.validUntilMillis() - nowMillis < DURATION_MILLIS / 2;
  }

  /**
   * Returns the next request to the table, or empty if none is due.
   *
   * @param nowMillis the time on this node's clock
   */
  public Optional<LeaseRequest> poll(long nowMillis) {
    if (pending != null && nowMillis - pending.sentMillis >= REQUEST_TIMEOUT_MILLIS) {
      onFailure(pending.id, nowMillis);
    }
    if (held != null && nowMillis >= held.validUntilMillis()) {
      held = null;
    }
    if (pending != null || nowMillis < nextMillis) {
      return Optional.empty();
    }
    if (attempt != null) {
      return Optional.of(read(nowMillis));
    }
    if (held != null) {
      return Optional.of(writeHeld(nowMillis));
    }
    if (!candidate) {
      return Optional.empty();
    }
    return Optional.of(acquirable ? acquire(nowMillis) : read(nowMillis));
  }

  /**
   * Processes the answer to a read.
   *
   * @param id the request's id
   * @param row the lease row, or empty when there is none
   * @param nowMillis the time on this node's clock
   */
  public void onRow(long id, Optional<Row> row, long nowMillis) {
    if (!completesPending(id)) {
      return;
    }
    consecutiveFailures = 0;
    Attempt attempted = attempt;
    attempt = null;
    recordRow(row.orElse(null), nowMillis);
    if (attempted != null && row.isPresent() && row.get().value().equals(attempted.lease)) {
      confirm(attempted, row.get(), nowMillis);
      return;
    }
    if (held != null && row.isPresent() && sameTerm(row.get())) {
      held = new HeldLease(held.term(), row.get().revision(), held.validUntilMillis());
      nextMillis = nowMillis;
      return;
    }
    held = null;
    acquirable = mayAcquire(nowMillis);
    nextMillis =
        nowMillis + (acquirable ? random.nextLong(ACQUIRE_JITTER_MILLIS) : readDelayMillis());
  }

  /**
   * Processes the answer to a write. The row is read next whatever the outcome, to get its
   * revision.
   *
   * @param id the request's id
   * @param outcome the outcome of the transaction
   * @param nowMillis the time on this node's clock
   */
  public void onOutcome(long id, TransactionOutcome outcome, long nowMillis) {
    if (!completesPending(id)) {
      return;
    }
    consecutiveFailures = 0;
    nextMillis = nowMillis;
  }

  /**
   * Processes a failed request or a lost answer; the row is read back after a back-off.
   *
   * @param id the request's id
   * @param nowMillis the time on this node's clock
   */
  public void onFailure(long id, long nowMillis) {
    if (!completesPending(id)) {
      return;
    }
    acquirable = false;
    long boundMillis = MIN_BACKOFF_MILLIS << Math.min(consecutiveFailures, 5);
    consecutiveFailures++;
    nextMillis = nowMillis + 1 + random.nextLong(Math.min(boundMillis, MAX_BACKOFF_MILLIS));
  }

  private boolean completesPending(long id) {
    if (pending == null || pending.id != id) {
      return false;
    }
    pending = null;
    return true;
  }

  private void recordRow(Row row, long nowMillis) {
    boolean same =
        lastRow == null ? row == null : row != null && lastRow.revision() == row.revision();
    if (!same) {
      unchangedSinceMillis = nowMillis;
    }
    lastRow = row;
  }

  private void confirm(Attempt attempted, Row row, long nowMillis) {
    acquirable = false;
    if (attempted.lease.expiresMillis() == RELEASED_EXPIRES_MILLIS) {
      held = null;
      nextMillis = nowMillis + readDelayMillis();
      return;
    }
    held =
        new HeldLease(
            attempted.lease.term(),
            row.revision(),
            attempted.sentMillis + DURATION_MILLIS - GUARD_MILLIS);
    nextMillis = candidate ? nowMillis + RENEW_MILLIS : nowMillis;
  }

  private boolean sameTerm(Row row) {
    return row.value() instanceof RowValue.Lease lease
        && lease.holder().equals(self)
        && lease.term() == held.term()
        && lease.expiresMillis() != RELEASED_EXPIRES_MILLIS;
  }

  /**
   * A lease in this node's own name that it does not hold dates from before a restart of the node,
   * or from a write that was applied after its timeout.
   */
  private boolean mayAcquire(long nowMillis) {
    if (lastRow == null || !(lastRow.value() instanceof RowValue.Lease lease)) {
      return true;
    }
    return lease.holder().equals(self)
        || lease.expiresMillis() == RELEASED_EXPIRES_MILLIS
        || nowMillis - unchangedSinceMillis >= DURATION_MILLIS + GUARD_MILLIS;
  }

  private LeaseRequest read(long nowMillis) {
    return new LeaseRequest.Read(send(nowMillis));
  }

  private LeaseRequest acquire(long nowMillis) {
    acquirable = false;
    long term =
        lastRow != null && lastRow.value() instanceof RowValue.Lease old ? old.term() + 1 : 1;
    return write(new RowValue.Lease(self, term, nowMillis + DURATION_MILLIS), nowMillis);
  }

  private LeaseRequest writeHeld(long nowMillis) {
    long expiresMillis = candidate ? nowMillis + DURATION_MILLIS : RELEASED_EXPIRES_MILLIS;
    return write(new RowValue.Lease(self, held.term(), expiresMillis), nowMillis);
  }

  private LeaseRequest write(RowValue.Lease lease, long nowMillis) {
    attempt = new Attempt(lease, nowMillis);
    Condition condition =
        lastRow == null
            ? new Condition.Absent(RowKey.ROLLOUT_LEASE)
            : new Condition.AtRevision(RowKey.ROLLOUT_LEASE, lastRow.revision());
    RowWrite put = new RowWrite.Put(RowKey.ROLLOUT_LEASE, lease);
    return new LeaseRequest.Write(
        send(nowMillis), new Transaction(List.of(condition), List.of(put)));
  }

  private long send(long nowMillis) {
    lastId++;
    pending = new Pending(lastId, nowMillis);
    return lastId;
  }

  private long readDelayMillis() {
    return READ_MILLIS / 2 + random.nextLong(READ_MILLIS);
  }

  private record Pending(long id, long sentMillis) {}

  private record Attempt(RowValue.Lease lease, long sentMillis) {}
}
