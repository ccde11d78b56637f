package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.brake.BrakeDetector;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.lease.HeldLease;
import io.hemlockbend.core.lease.LeaseKeeper;
import io.hemlockbend.core.lease.LeaseRequest;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.rollout.MoveController;
import io.hemlockbend.core.rollout.RolloutDecision;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** A lease candidate that runs the rollout classes of the core. */
final class LeasedController implements Controller {
  private static final long DECISION_INTERVAL_MILLIS = 1_000;

  private final VirtualTime time;
  private final ModelTable table;
  private final ModelStore store;
  private final Consumer<BrakeSet> broadcast;
  private final LeaseKeeper keeper;
  private final EvidenceWindow window = new EvidenceWindow();
  private final MoveController moves = new MoveController(window);
  private Configuration configuration = Configuration.EMPTY;
  private BrakeSet brakes = BrakeSet.EMPTY;
  private boolean committing;
  private long decidedMillis;

  LeasedController(
      NodeId self,
      RandomGenerator random,
      VirtualTime time,
      ModelTable table,
      ModelStore store,
      Consumer<BrakeSet> broadcast) {
    this.time = time;
    this.table = table;
    this.store = store;
    this.broadcast = broadcast;
    keeper = new LeaseKeeper(self, random);
    keeper.candidate(true);
  }

  @Override
  public void tick(long nowMillis) {
    if (!committing || keeper.renewalUrgent(nowMillis)) {
      keeper.poll(nowMillis).ifPresent(this::send);
    }
    window.expire(nowMillis);
    List<Brake> detected = BrakeDetector.detect(configuration, window, brakes, nowMillis);
    if (!detected.isEmpty()) {
      brakes = brakes.withAll(detected);
      broadcast.accept(brakes);
    }
    if (!committing && nowMillis - decidedMillis >= DECISION_INTERVAL_MILLIS) {
      decidedMillis = nowMillis;
      keeper.held(nowMillis).ifPresent(lease -> decide(lease, nowMillis));
    }
  }

  private void send(LeaseRequest request) {
    Runnable unknown = () -> keeper.onFailure(request.id(), time.nowMillis());
    switch (request) {
      case LeaseRequest.Read read ->
          table.read(
              RowKey.ROLLOUT_LEASE, row -> keeper.onRow(read.id(), row, time.nowMillis()), unknown);
      case LeaseRequest.Write write ->
          table.transact(
              write.transaction(),
              outcome -> keeper.onOutcome(write.id(), outcome, time.nowMillis()),
              unknown);
    }
  }

  private void decide(HeldLease lease, long nowMillis) {
    moves.decide(brakes, key -> 1, nowMillis).stream()
        .map(RolloutDecision::change)
        .flatMap(Optional::stream)
        .findFirst()
        .ifPresent(change -> commit(change, lease));
  }

  private void commit(Change change, HeldLease lease) {
    committing = true;
    Configuration base = configuration;
    Runnable done = () -> committing = false;
    table.read(RowKey.CURRENT, row -> write(base, change, lease, row, done), done);
  }

  private void write(
      Configuration base, Change change, HeldLease lease, Optional<Row> current, Runnable done) {
    store
        .prepare(base, change, Optional.of(lease.condition()), current)
        .ifPresentOrElse(
            transaction -> table.transact(transaction, outcome -> done.run(), done), done);
  }

  @Override
  public void onReport(EvidenceReport report, long nowMillis) {
    window.accept(report, nowMillis);
  }

  @Override
  public void onConfiguration(Configuration next, long nowMillis) {
    if (next.version().newerThan(configuration.version())) {
      configuration = next;
      moves.onConfiguration(next, nowMillis);
    }
  }

  @Override
  public void onBrakes(BrakeSet more) {
    brakes = brakes.merge(more);
  }

  @Override
  public boolean holdsLease(long nowMillis) {
    return keeper.held(nowMillis).isPresent();
  }
}
