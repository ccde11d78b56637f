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

/** Two keepers, the lease row and writes that are still on their way. */
final class LeaseWorld {
  static final long EXPIRY_MILLIS = LeaseKeeper.DURATION_MILLIS + LeaseKeeper.GUARD_MILLIS + 500;

  final LeaseKeeper[] keepers = new LeaseKeeper[2];
  final List<Late> late = new ArrayList<>();
  long nowMillis = 1_000_000;
  long newestTerm;
  int landed;
  int refused;
  String violation = "";
  private final boolean checked;
  private Row row;

  /** With {@code checked} false, the controllers' writes lack the condition on the lease. */
  LeaseWorld(boolean checked) {
    this.checked = checked;
    for (int i = 0; i < keepers.length; i++) {
      keepers[i] = new LeaseKeeper(new NodeId("node-" + i), () -> 0L);
      keepers[i].candidate(true);
    }
  }

  enum Fate {
    ANSWERED,
    ANSWER_LOST,
    DELAYED
  }

  /** A write on its way: of a keeper, or of a controller under a term. */
  record Late(Transaction transaction, long controllerTerm) {}

  /** Lets a keeper ask for what it wants; false when it wants nothing or the fate does not fit. */
  boolean exchange(int node, Fate fate) {
    Optional<LeaseRequest> request = keepers[node].poll(nowMillis);
    if (request.isEmpty()) {
      return false;
    }
    long id = request.get().id();
    if (request.get() instanceof LeaseRequest.Write write) {
      if (fate == Fate.DELAYED) {
        late.add(new Late(write.transaction(), 0));
      } else {
        TransactionOutcome outcome = apply(write.transaction());
        if (fate == Fate.ANSWERED) {
          keepers[node].onOutcome(id, outcome, nowMillis);
          return true;
        }
      }
    } else if (fate == Fate.ANSWERED) {
      keepers[node].onRow(id, Optional.ofNullable(row), nowMillis);
      return true;
    }
    keepers[node].onUnknown(id, nowMillis);
    nowMillis++;
    return fate != Fate.DELAYED || request.get() instanceof LeaseRequest.Write;
  }

  /** Lets the controller of a holder send a write; false when it holds nothing. */
  boolean send(int node) {
    Optional<HeldLease> held = keepers[node].held(nowMillis);
    held.ifPresent(
        lease ->
            late.add(
                new Late(
                    new Transaction(checked ? List.of(lease.condition()) : List.of(), List.of()),
                    lease.term())));
    return held.isPresent();
  }

  boolean land(int index) {
    if (index >= late.size()) {
      return false;
    }
    Late write = late.remove(index);
    boolean applied = apply(write.transaction()) instanceof TransactionOutcome.Applied;
    if (write.controllerTerm() > 0) {
      landed += applied ? 1 : 0;
      refused += applied ? 0 : 1;
      if (applied && write.controllerTerm() < newestTerm) {
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
