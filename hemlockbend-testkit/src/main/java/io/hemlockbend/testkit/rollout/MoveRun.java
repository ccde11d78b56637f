package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.table.RowKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Runs one modelled move; deterministic for the same arguments. */
final class MoveRun {
  static final long MOVE_MILLIS = 300_000;

  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final long WARM_UP_MILLIS = 15_000;
  private static final long AFTER_MILLIS = 60_000;
  private static final int CONTROLLERS = 3;
  private static final int APPLY_JITTER_MILLIS = 2_500;
  private static final int NOTIFY_JITTER_MILLIS = 1_000;
  private static final int BRAKE_JITTER_MILLIS = 1_500;
  private static final int REPORT_JITTER_MILLIS = 150;

  /** The share of reports that are lost; as many are delivered twice. */
  private static final double LOST_SHARE = 0.01;

  private final VirtualTime time = new VirtualTime(START_MILLIS);
  private final RandomGenerator random;
  private final Disturbance disturbance;
  private final ModelTable table;
  private final ModelStore store;
  private final ModelTraffic traffic;
  private final Entry[] entries = new Entry[ModelTraffic.DOMAINS];
  private final List<Controller> controllers = new ArrayList<>();
  private final long[] pausedUntil = new long[CONTROLLERS];
  private final Move move;
  private Configuration latest;
  private long finishedMillis = -1;
  private long takenBackMillis = -1;

  private MoveRun(Scenario scenario, boolean naive) {
    disturbance = scenario.disturbance();
    random = new SplittableRandom(scenario.seed());
    table = new ModelTable(time, random);
    store = new ModelStore(table, this::onAccepted);
    long startMillis = START_MILLIS + WARM_UP_MILLIS;
    Change start =
        new Change.StartMove(
            ModelTraffic.SERVICE,
            ModelTraffic.FRESH.version(),
            startMillis,
            startMillis + MOVE_MILLIS);
    TeamName owner = new TeamName("owner");
    latest =
        ChangeApplier.apply(
            Configuration.EMPTY,
            List.of(
                new Change.AddVersion(ModelTraffic.OLD, owner),
                new Change.AddVersion(ModelTraffic.FRESH, owner),
                start));
    move = latest.moves().get(ModelTraffic.SERVICE);
    long disturbanceMillis = startMillis + random.nextLong(MOVE_MILLIS);
    traffic = new ModelTraffic(random, scenario, disturbanceMillis, move);
    for (int domain = 0; domain < entries.length; domain++) {
      entries[domain] = new Entry(domain, latest);
    }
    makeControllers(naive);
    time.after(disturbanceMillis - START_MILLIS, this::startDisturbance);
  }

  static MoveResult run(Scenario scenario, boolean naive) {
    return new MoveRun(scenario, naive).run();
  }

  private MoveResult run() {
    time.every(ModelTraffic.TICK_MILLIS, this::tick);
    time.runUntil(move.deadlineMillis() + AFTER_MILLIS);
    return new MoveResult(
        finishedMillis,
        takenBackMillis,
        traffic.exposureMillis(),
        traffic.freshCalls(),
        traffic.harmedCalls(),
        traffic.calls());
  }

  private void makeControllers(boolean naive) {
    for (int i = 0; i < (naive ? 1 : CONTROLLERS); i++) {
      Controller controller =
          naive
              ? new NaiveController(table, store)
              : new LeasedController(
                  new NodeId("controller-" + i),
                  new Random(random.nextLong()),
                  time,
                  table,
                  store,
                  this::broadcast);
      controller.onConfiguration(latest, START_MILLIS);
      controllers.add(controller);
    }
  }

  private void tick() {
    long now = time.nowMillis();
    store.poll();
    if (now >= move.startMillis()) {
      traffic.tick(entries, now);
    }
    traffic.reports(now).forEach(this::send);
    for (int i = 0; i < controllers.size(); i++) {
      if (now >= pausedUntil[i] && now >= move.startMillis() - WARM_UP_MILLIS) {
        controllers.get(i).tick(now);
      }
    }
  }

  private void send(EvidenceReport report) {
    for (int i = 0; i < controllers.size(); i++) {
      int receiver = i;
      double drawn = random.nextDouble();
      int copies = drawn < LOST_SHARE ? 0 : drawn > 1 - LOST_SHARE ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        time.after(1 + random.nextInt(REPORT_JITTER_MILLIS), () -> deliver(receiver, report));
      }
    }
  }

  /** Delivers a report, or defers it until a paused controller resumes. */
  private void deliver(int to, EvidenceReport report) {
    long remainingMillis = pausedUntil[to] - time.nowMillis();
    if (remainingMillis > 0) {
      time.after(remainingMillis, () -> deliver(to, report));
      return;
    }
    controllers.get(to).onReport(report, time.nowMillis());
  }

  private void onAccepted(Configuration configuration) {
    long elapsedMillis = time.nowMillis() - move.startMillis();
    boolean moving = configuration.moves().containsKey(ModelTraffic.SERVICE);
    if (!configuration.usable(ModelTraffic.FRESH) && takenBackMillis < 0) {
      takenBackMillis = elapsedMillis;
    } else if (!moving && finishedMillis < 0 && takenBackMillis < 0) {
      finishedMillis = elapsedMillis;
    }
    latest = configuration;
    for (Entry entry : entries) {
      time.after(300 + random.nextInt(APPLY_JITTER_MILLIS), () -> entry.apply(configuration));
    }
    for (Controller controller : controllers) {
      time.after(
          100 + random.nextInt(NOTIFY_JITTER_MILLIS),
          () -> controller.onConfiguration(configuration, time.nowMillis()));
    }
  }

  private void broadcast(BrakeSet brakes) {
    for (Entry entry : entries) {
      time.after(
          100 + random.nextInt(BRAKE_JITTER_MILLIS),
          () -> entry.brakes = entry.brakes.merge(brakes));
    }
    for (Controller controller : controllers) {
      time.after(100 + random.nextInt(BRAKE_JITTER_MILLIS), () -> controller.onBrakes(brakes));
    }
  }

  private void startDisturbance() {
    switch (disturbance) {
      case SLOW_PLATFORM -> {
        table.slow(true);
        time.after(Disturbance.OUTAGE_MILLIS, () -> table.down(true));
        time.after(2 * Disturbance.OUTAGE_MILLIS, () -> table.down(false));
      }
      case HOLDER_DEATH -> pauseHolder(Long.MAX_VALUE / 2);
      case PAUSED_HOLDER -> pauseHolder(Disturbance.PAUSE_MILLIS);
      case WITHDRAWAL -> withdraw();
      default -> {
        // ModelTraffic applies the others.
      }
    }
  }

  private void pauseHolder(long pauseMillis) {
    for (int i = 0; i < controllers.size(); i++) {
      if (controllers.get(i).holdsLease(time.nowMillis())) {
        pausedUntil[i] = time.nowMillis() + pauseMillis;
        return;
      }
    }
    time.after(ModelTraffic.TICK_MILLIS, () -> pauseHolder(pauseMillis));
  }

  private void withdraw() {
    Change change = new Change.Withdraw(ModelTraffic.domainName(0), time.nowMillis());
    store
        .prepare(latest, change, Optional.empty(), table.row(RowKey.CURRENT))
        .ifPresent(table::apply);
    if (table.row(RowKey.CURRENT).isEmpty()
        || !(latest.domains().get(ModelTraffic.domainName(0)) instanceof DomainState.Withdrawn)) {
      time.after(ModelTraffic.TICK_MILLIS, this::withdraw);
    }
  }
}
