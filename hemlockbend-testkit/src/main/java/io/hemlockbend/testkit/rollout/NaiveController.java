package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.evidence.Counts;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.evidence.Stratum;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import java.util.Optional;

/**
 * The baseline: a linear ramp by time, and a take-back when the new version, over all routes and
 * domains, passes an absolute share of failures or an absolute mean in the last ten seconds. It has
 * one controller that never dies and needs no lease.
 */
final class NaiveController implements Controller {
  private static final long DECIDE_MILLIS = 1_000;
  private static final long LOOK_MILLIS = 10_000;
  private static final long MIN_CALLS = 20;
  private static final double FAILING_SHARE = 0.05;
  private static final double SLOW_MILLIS = 60;
  private static final double END_PART = 0.9;

  private final ModelTable table;
  private final ModelStore store;
  private final EvidenceWindow window = new EvidenceWindow();
  private Configuration configuration = Configuration.EMPTY;
  private boolean committing;
  private long decidedMillis;

  NaiveController(ModelTable table, ModelStore store) {
    this.table = table;
    this.store = store;
  }

  @Override
  public void tick(long nowMillis) {
    Move move = configuration.moves().get(ModelTraffic.SERVICE);
    if (committing || move == null || nowMillis - decidedMillis < DECIDE_MILLIS) {
      return;
    }
    decidedMillis = nowMillis;
    window.expire(nowMillis);
    if (bad(nowMillis)) {
      commit(new Change.TakeBack(ModelTraffic.FRESH, null));
      return;
    }
    double length = END_PART * (move.deadlineMillis() - move.startMillis());
    double part = Math.min(1, (nowMillis - move.startMillis()) / length);
    int share = (int) (part * Move.FULL_SHARE_PERMILLE);
    if (share > move.sharePermille()) {
      commit(new Change.AdvanceMove(ModelTraffic.SERVICE, move.to(), share));
    }
  }

  private boolean bad(long nowMillis) {
    Counts fresh =
        window
            .strata(ModelTraffic.OLD, ModelTraffic.FRESH, nowMillis - LOOK_MILLIS, nowMillis)
            .stream()
            .map(Stratum::fresh)
            .reduce(Counts.NONE, Counts::plus);
    return fresh.calls() >= MIN_CALLS
        && (fresh.failureShare() > FAILING_SHARE || fresh.meanMillis() > SLOW_MILLIS);
  }

  private void commit(Change change) {
    committing = true;
    Configuration base = configuration;
    Runnable done = () -> committing = false;
    table.read(RowKey.CURRENT, row -> write(base, change, row, done), done);
  }

  private void write(Configuration base, Change change, Optional<Row> current, Runnable done) {
    store
        .prepare(base, change, Optional.empty(), current)
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
    }
  }

  @Override
  public void onBrakes(BrakeSet brakes) {
    // The baseline knows no brakes.
  }

  @Override
  public boolean leads(long nowMillis) {
    return true;
  }
}
