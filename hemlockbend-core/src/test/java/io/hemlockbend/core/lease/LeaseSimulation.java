package io.hemlockbend.core.lease;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Simulates two keepers, the lease row and delayed writes. */
final class LeaseSimulation {
  static final long EXPIRY_MILLIS = LeaseKeeper.DURATION_MILLIS + LeaseKeeper.GUARD_MILLIS + 500;

  final LeaseKeeper[] keepers = new LeaseKeeper[2];
  final List<DelayedWrite> delayed = new ArrayList<>();
  long nowMillis = 1_000_000;
  long newestTerm;
  int applied;
  int refused;
  String violation = "";
  private final boolean conditional;
  private Row row;

  /** With {@code conditional} false, the controllers' writes lack the condition on the lease. */
  LeaseSimulation(boolean conditional) {
    this.conditional = conditional;
    for (int i = 0; i < keepers.length; i++) {
      keepers[i] = new LeaseKeeper(new NodeId("node-" + i), () -> 0L);
      keepers[i].candidate(true);
    }
  }

  enum Delivery {
    ANSWERED,
    ANSWER_LOST,
    DELAYED
  }

  /** A delayed write of a keeper (term 0), or of a controller under a term. */
  record DelayedWrite(Transaction transaction, long controllerTerm) {}

  /**
   * Executes the next request of a keeper; returns false if there is none or the delivery does not
   * apply to it.
   */
  boolean exchange(int node, Delivery delivery) {
    Optional<LeaseRequest> request = keepers[node].poll(nowMillis);
    if (request.isEmpty()) {
      return false;
    }
    long id = request.get().id();
    if (request.get() instanceof LeaseRequest.Write write) {
      if (delivery == Delivery.DELAYED) {
        delayed.add(new DelayedWrite(write.transaction(), 0));
      } else {
        TransactionOutcome outcome = apply(write.transaction());
        if (delivery == Delivery.ANSWERED) {
          keepers[node].onOutcome(id, outcome, nowMillis);
          return true;
        }
      }
    } else if (delivery == Delivery.ANSWERED) {
      keepers[node].onRow(id, Optional.ofNullable(row), nowMillis);
      return true;
    }
    keepers[node].onFailure(id, nowMillis);
    nowMillis++;
    return delivery != Delivery.DELAYED || request.get() instanceof LeaseRequest.Write;
  }

  /**
   * Queues a write of the controller on a node; returns false if the node does not hold the lease.
   */
  boolean send(int node) {
    Optional<HeldLease> held = keepers[node].held(nowMillis);
    held.ifPresent(
        lease ->
            delayed.add(
                new DelayedWrite(
                    new Transaction(
                        conditional ? List.of(lease.condition()) : List.of(), List.of()),
                    lease.term())));
    return held.isPresent();
  }

  boolean deliver(int index) {
    if (index >= delayed.size()) {
      return false;
    }
    DelayedWrite write = delayed.remove(index);
    boolean success = apply(write.transaction()) instanceof TransactionOutcome.Applied;
    if (write.controllerTerm() > 0) {
      applied += success ? 1 : 0;
      refused += success ? 0 : 1;
      if (success && write.controllerTerm() < newestTerm) {
        violation = "a write of term " + write.controllerTerm() + " after term " + newestTerm;
      }
    }
    return true;
  }

  private TransactionOutcome apply(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      boolean holds =
          switch (condition) {
            case Condition.Absent absent -> row == null;
            case Condition.AtRevision at -> row != null && row.revision() == at.revision();
          };
      if (!holds) {
        return new TransactionOutcome.Conflicted(List.of(condition.key()));
      }
    }
    for (RowWrite write : transaction.writes()) {
      RowValue.Lease lease = (RowValue.Lease) ((RowWrite.Put) write).value();
      row = new Row(RowKey.ROLLOUT_LEASE, row == null ? 1 : row.revision() + 1, lease);
      newestTerm = Math.max(newestTerm, lease.term());
    }
    return new TransactionOutcome.Applied();
  }

  void checkOneHolder() {
    if (keepers[0].held(nowMillis).isPresent() && keepers[1].held(nowMillis).isPresent()) {
      violation = "two nodes act as holder";
    }
  }
}
