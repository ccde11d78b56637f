package io.hemlockbend.node.rollout;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.lease.HeldLease;
import io.hemlockbend.core.lease.LeaseKeeper;
import io.hemlockbend.core.lease.LeaseRequest;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.platform.TableService;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Executes the lease keeper's requests on the table. Driven by the control thread. */
final class LeaseDriver {
  private final LeaseKeeper keeper;
  private final TableService table;
  private final Executor control;
  private final Clock clock;

  LeaseDriver(LeaseKeeper keeper, TableService table, Executor control, Clock clock) {
    this.keeper = keeper;
    this.table = table;
    this.control = control;
    this.clock = clock;
  }

  /**
   * Acquires or renews the lease when due. While a commit is in progress, the lease is renewed only
   * when it would otherwise expire, since a renewal makes the commit's condition fail.
   */
  void tick(boolean candidate, boolean committing, long nowMillis) {
    keeper.candidate(candidate);
    if (committing && !keeper.renewalUrgent(nowMillis)) {
      return;
    }
    keeper.poll(nowMillis).ifPresent(this::execute);
  }

  Optional<HeldLease> held(long nowMillis) {
    return keeper.held(nowMillis);
  }

  private void execute(LeaseRequest request) {
    switch (request) {
      case LeaseRequest.Read read ->
          table
              .read(RowKey.ROLLOUT_LEASE)
              .whenCompleteAsync(
                  (row, failure) -> {
                    if (failure == null) {
                      keeper.onRow(read.id(), row, clock.millis());
                    } else {
                      keeper.onFailure(read.id(), clock.millis());
                    }
                  },
                  control);
      case LeaseRequest.Write write ->
          table
              .transact(write.transaction())
              .whenCompleteAsync(
                  (outcome, failure) -> {
                    if (failure == null) {
                      keeper.onOutcome(write.id(), outcome, clock.millis());
                    } else {
                      keeper.onFailure(write.id(), clock.millis());
                    }
                  },
                  control);
    }
  }
}
