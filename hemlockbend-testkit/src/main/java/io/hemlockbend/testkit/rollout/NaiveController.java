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
 * The baseline: a linear ramp over time, with a take-back when the new version, over all routes and
 * domains, exceeds a fixed failure share or a fixed mean latency in the last ten seconds. It runs
 * as one controller without a lease, so that no other takes over when it dies.
 */
final class NaiveController implements Controller {
  private static final long DECISION_INTERVAL_MILLIS = 1_000;
  private static final long WINDOW_MILLIS = 10_000;
  private static final long MIN_CALLS = 20;
  private static final double MAX_FAILURE_SHARE = 0.05;
  private static final double MAX_MEAN_MILLIS = 60;
  private static final double RAMP_FRACTION = 0.9;

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
    if (committing || move == null || nowMillis - decidedMillis < DECISION_INTERVAL_MILLIS) {
      return;
    }
    decidedMillis = nowMillis;
    window.expire(nowMillis);
    if (exceedsLimits(nowMillis)) {
      commit(new Change.TakeBack(ModelTraffic.FRESH, null));
      return;
    }
    double rampMillis = RAMP_FRACTION * (move.deadlineMillis() - move.startMillis());
    double rampFraction = Math.min(1, (nowMillis - move.startMillis()) / rampMillis);
    int share = (int) (rampFraction * Move.FULL_SHARE_PERMILLE);
    if (share > move.sharePermille()) {
      commit(new Change.AdvanceMove(ModelTraffic.SERVICE, move.to(), share));
    }
  }

  private boolean exceedsLimits(long nowMillis) {
    Counts fresh =
        window
            .strata(ModelTraffic.OLD, ModelTraffic.FRESH, nowMillis - WINDOW_MILLIS, nowMillis)
            .stream()
            .map(Stratum::fresh)
            .reduce(Counts.NONE, Counts::plus);
    return fresh.calls() >= MIN_CALLS
        && (fresh.failureShare() > MAX_FAILURE_SHARE || fresh.meanMillis() > MAX_MEAN_MILLIS);
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
    // The baseline ignores brakes.
  }

  @Override
  public boolean holdsLease(long nowMillis) {
    return true;
  }
}
