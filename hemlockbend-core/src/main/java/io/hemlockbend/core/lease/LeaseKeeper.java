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
 * Takes, renews and loses the rollout lease. The shell asks {@link #poll} what to do, sends that to
 * the table and hands the answer back.
 *
 * <p>Safety rests on the table alone: each write is conditional on the revision that was read, so
 * that two nodes never hold the same revision, and {@link HeldLease#condition()} makes each write
 * of a replaced holder fail. It rests on no clock.
 *
 * <p>Clocks decide only when to act. A candidate takes a lease whose row it saw unchanged for
 * {@link #DURATION_MILLIS} and {@link #GUARD_MILLIS} on its own clock, so the offset between clocks
 * does not matter; their rates may differ by {@code GUARD_MILLIS / DURATION_MILLIS} before a holder
 * is replaced that still acts. The holder counts its time from before it sent the write. The way is
 * that of Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
 * cache consistency", 1989, with the term as the fencing token.
 */
public final class LeaseKeeper {
  /** How long a lease lasts without renewal. */
  public static final long DURATION_MILLIS = 15_000;

  /** By how much longer a candidate waits than the holder acts. */
  public static final long GUARD_MILLIS = 1_500;

  /** How often the holder renews. */
  public static final long RENEW_MILLIS = 4_000;

  /** How often a candidate reads the row. */
  public static final long READ_MILLIS = 2_000;

  /** After which time a request counts as lost. */
  public static final long REQUEST_TIMEOUT_MILLIS = 4_000;

  /** The longest pause after failed requests. */
  public static final long MAX_BACKOFF_MILLIS = 8_000;

  private static final long MIN_BACKOFF_MILLIS = 250;
  private static final long TAKE_JITTER_MILLIS = 300;
  private static final long RELEASED_MILLIS = 0;

  private final NodeId self;
  private final RandomGenerator random;
  private boolean candidate;
  private long lastId;
  private Pending pending;
  private Attempt attempt;
  private HeldLease held;
  private Row seen;
  private long seenSinceMillis;
  private boolean takeable;
  private long nextMillis;
  private int failedInARow;

  /**
   * Makes a keeper that is no candidate yet.
   *
   * @param self this node
   * @param random spreads the candidates' requests
   */
  public LeaseKeeper(NodeId self, RandomGenerator random) {
    this.self = self;
    this.random = random;
  }

  /**
   * Tells whether this node may hold the lease. A holder that may no longer gives it up.
   *
   * @param drawn whether {@link LeaseCandidates} drew this node
   */
  public void candidate(boolean drawn) {
    candidate = drawn;
  }

  /**
   * Returns the lease when this node holds it and may act on it now. Empty while a renewal is under
   * way, since the revision is not known then, and from the moment it expires.
   *
   * @param nowMillis the time on this node's clock
   */
  public Optional<HeldLease> held(long nowMillis) {
    boolean changing = attempt != null;
    return Optional.ofNullable(held)
        .filter(lease -> !changing && nowMillis < lease.validUntilMillis());
  }

  /**
   * Returns whether less than half of the lease is left. The shell asks for no renewal while a
   * commit under the lease is under way, which a renewal would make fail, unless this holds.
   *
   * @param nowMillis the time on this node's clock
   */
  public boolean urgent(long nowMillis) {
    return held == null || held.validUntilMillis() - nowMillis < DURATION_MILLIS / 2;
  }

  /**
   * Returns the next request for the table, or empty when there is nothing to ask now.
   *
   * @param nowMillis the time on this node's clock
   */
  public Optional<LeaseRequest> poll(long nowMillis) {
    if (pending != null && nowMillis - pending.sentMillis >= REQUEST_TIMEOUT_MILLIS) {
      onUnknown(pending.id, nowMillis);
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
    return Optional.of(takeable ? take(nowMillis) : read(nowMillis));
  }

  /**
   * Takes the answer to a read.
   *
   * @param id the request's id
   * @param row the lease row, or empty when there is none
   * @param nowMillis the time on this node's clock
   */
  public void onRow(long id, Optional<Row> row, long nowMillis) {
    if (!settles(id)) {
      return;
    }
    failedInARow = 0;
    Attempt made = attempt;
    attempt = null;
    remember(row.orElse(null), nowMillis);
    if (made != null && row.isPresent() && row.get().value().equals(made.lease)) {
      confirm(made, row.get(), nowMillis);
      return;
    }
    if (held != null && row.isPresent() && sameTerm(row.get())) {
      held = new HeldLease(held.term(), row.get().revision(), held.validUntilMillis());
      nextMillis = nowMillis;
      return;
    }
    held = null;
    takeable = mayTake(nowMillis);
    nextMillis = nowMillis + (takeable ? random.nextLong(TAKE_JITTER_MILLIS) : readPause());
  }

  /**
   * Takes the answer to a write. Whatever it says, the row is read next: it tells the revision.
   *
   * @param id the request's id
   * @param outcome what became of the transaction
   * @param nowMillis the time on this node's clock
   */
  public void onOutcome(long id, TransactionOutcome outcome, long nowMillis) {
    if (!settles(id)) {
      return;
    }
    failedInARow = 0;
    nextMillis = nowMillis;
  }

  /**
   * Takes note that a request failed or that its answer was lost; the row is read back.
   *
   * @param id the request's id
   * @param nowMillis the time on this node's clock
   */
  public void onUnknown(long id, long nowMillis) {
    if (!settles(id)) {
      return;
    }
    takeable = false;
    long bound = MIN_BACKOFF_MILLIS << Math.min(failedInARow, 5);
    failedInARow++;
    nextMillis = nowMillis + 1 + random.nextLong(Math.min(bound, MAX_BACKOFF_MILLIS));
  }

  private boolean settles(long id) {
    if (pending == null || pending.id != id) {
      return false;
    }
    pending = null;
    return true;
  }

  private void remember(Row row, long nowMillis) {
    boolean same = seen == null ? row == null : row != null && seen.revision() == row.revision();
    if (!same) {
      seenSinceMillis = nowMillis;
    }
    seen = row;
  }

  private void confirm(Attempt made, Row row, long nowMillis) {
    takeable = false;
    if (made.lease.expiresMillis() == RELEASED_MILLIS) {
      held = null;
      nextMillis = nowMillis + readPause();
      return;
    }
    held =
        new HeldLease(
            made.lease.term(), row.revision(), made.sentMillis + DURATION_MILLIS - GUARD_MILLIS);
    nextMillis = candidate ? nowMillis + RENEW_MILLIS : nowMillis;
  }

  private boolean sameTerm(Row row) {
    return row.value() instanceof RowValue.Lease lease
        && lease.holder().equals(self)
        && lease.term() == held.term()
        && lease.expiresMillis() != RELEASED_MILLIS;
  }

  /** A lease in this node's own name without a term held is of an earlier life of the node. */
  private boolean mayTake(long nowMillis) {
    if (seen == null || !(seen.value() instanceof RowValue.Lease lease)) {
      return true;
    }
    return lease.holder().equals(self)
        || lease.expiresMillis() == RELEASED_MILLIS
        || nowMillis - seenSinceMillis >= DURATION_MILLIS + GUARD_MILLIS;
  }

  private LeaseRequest read(long nowMillis) {
    return new LeaseRequest.Read(send(nowMillis));
  }

  private LeaseRequest take(long nowMillis) {
    takeable = false;
    long term = seen != null && seen.value() instanceof RowValue.Lease old ? old.term() + 1 : 1;
    return write(new RowValue.Lease(self, term, nowMillis + DURATION_MILLIS), nowMillis);
  }

  private LeaseRequest writeHeld(long nowMillis) {
    long expires = candidate ? nowMillis + DURATION_MILLIS : RELEASED_MILLIS;
    return write(new RowValue.Lease(self, held.term(), expires), nowMillis);
  }

  private LeaseRequest write(RowValue.Lease lease, long nowMillis) {
    attempt = new Attempt(lease, nowMillis);
    Condition condition =
        seen == null
            ? new Condition.Absent(RowKey.ROLLOUT_LEASE)
            : new Condition.AtRevision(RowKey.ROLLOUT_LEASE, seen.revision());
    RowWrite put = new RowWrite.Put(RowKey.ROLLOUT_LEASE, lease);
    return new LeaseRequest.Write(
        send(nowMillis), new Transaction(List.of(condition), List.of(put)));
  }

  private long send(long nowMillis) {
    lastId++;
    pending = new Pending(lastId, nowMillis);
    return lastId;
  }

  private long readPause() {
    return READ_MILLIS / 2 + random.nextLong(READ_MILLIS);
  }

  private record Pending(long id, long sentMillis) {}

  private record Attempt(RowValue.Lease lease, long sentMillis) {}
}
