package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.rollout.MoveRamp;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.MoveShare;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Leads moves of traffic while this node is the first by name of those that reach the store. It
 * judges the version by what all nodes report, decides on its share and keeps the outcome in the
 * store under a condition, so that two leaders at a time cannot contradict each other there.
 */
public final class MoveLeader {
  private static final long TICK_MILLIS = 250;
  private static final long QUIET_MILLIS = 1_000;
  private static final long MAX_DRAIN_MILLIS = 2_500;

  private final EventLoop loop;
  private final PeerMesh mesh;
  private final MeshNode node;
  private final ServiceVersions versions;
  private final DurableState durable;
  private final DecisionSink sink;
  private final Map<ServiceName, LedMove> led = new HashMap<>();
  private final Set<Long> settled = new HashSet<>();
  private final Map<ServiceName, Long> seenMillis = new HashMap<>();
  private final Map<ServiceName, Long> seenOrder = new HashMap<>();

  MoveLeader(
      EventLoop loop,
      PeerMesh mesh,
      MeshNode node,
      ServiceVersions versions,
      DurableState durable,
      DecisionSink sink) {
    this.loop = loop;
    this.mesh = mesh;
    this.node = node;
    this.versions = versions;
    this.durable = durable;
    this.sink = sink;
    loop.every(TICK_MILLIS, this::tick);
  }

  void orders(OperatorOrders news) {
    for (MoveOrder order : news.moves()) {
      Long known = seenOrder.put(order.service(), order.order());
      if (known == null || known != order.order()) {
        seenMillis.put(order.service(), loop.millis());
      }
    }
  }

  private void tick() {
    if (!leads()) {
      led.clear();
      return;
    }
    for (MoveOrder known : node.orders().moves()) {
      MoveOrder order = versions.order(known.service());
      if (order != null && order.state() == MoveOrder.State.RUNNING) {
        lead(order);
      } else if (order != null && known.state() == MoveOrder.State.RUNNING) {
        settle(order);
      }
    }
  }

  private boolean leads() {
    if (!node.storeReachable() || node.leaving()) {
      return false;
    }
    for (Peer peer : mesh.peers()) {
      boolean before = peer.info.node().compareTo(mesh.self().node()) < 0;
      if (before && mesh.alive(peer) && peer.report.storeReachable() && !peer.report.leaving()) {
        return false;
      }
    }
    return true;
  }

  private void lead(MoveOrder order) {
    LedMove move = led.get(order.service());
    if (move == null || move.order.order() != order.order()) {
      move = begin(order);
      led.put(order.service(), move);
    }
    if (!move.announced) {
      move.announced = true;
      durable.keepMove(order, kept -> {});
    }
    gather(move);
    long nowMillis = loop.millis();
    int permille = versions.permille(order.service());
    Verdict verdict = move.evidence.verdict(permille, nowMillis);
    long elapsed = nowMillis - move.beganMillis;
    switch (move.ramp.next(verdict, elapsed, order.durationMillis())) {
      case MoveRamp.Step.Share share -> share(move, share.permille(), elapsed, verdict);
      case MoveRamp.Step.TakeBack back -> {
        sink.decided(
            "move-taken-back", null, "order", order, "why", back.reason(), "elapsed", elapsed);
        publish(order, 0, elapsed, MoveOrder.State.ROLLED_BACK);
        keep(move, MoveOrder.State.ROLLED_BACK);
      }
    }
  }

  private LedMove begin(MoveOrder order) {
    long began = seenMillis.getOrDefault(order.service(), loop.millis());
    MoveShare known = versions.share(order.service());
    LedMove move = new LedMove(order, began);
    if (known != null) {
      move.beganMillis = Math.min(began, loop.millis() - known.elapsedMillis());
      move.ramp.resume(known.permille());
    }
    sink.decided(
        "move-led", null, "order", order, "beganMillisAgo", loop.millis() - move.beganMillis);
    return move;
  }

  private void gather(LedMove move) {
    UpstreamRecord own = node.upstream().record();
    if (own != null && own.service().equals(move.order.service())) {
      move.evidence.add(own, node.upstream().counts());
    }
    for (Peer peer : mesh.peers()) {
      NodeReport report = peer.report;
      if (report != null
          && report.upstream() != null
          && report.upstream().service().equals(move.order.service())) {
        move.evidence.add(report.upstream(), report.counts());
      }
    }
  }

  private void share(LedMove move, int permille, long elapsed, Verdict verdict) {
    MoveShare known = versions.share(move.order.service());
    if (known == null || known.permille() != permille) {
      sink.decided(
          "move-share",
          null,
          "order",
          move.order,
          "permille",
          permille,
          "elapsed",
          elapsed,
          "verdict",
          verdict);
      publish(move.order, permille, elapsed, MoveOrder.State.RUNNING);
      move.allSinceMillis = loop.millis();
    }
    long allFor = loop.millis() - move.allSinceMillis;
    boolean all = permille == MoveRamp.ALL_PERMILLE && allFor >= QUIET_MILLIS;
    if (all && (oldIdle(move.order) || allFor >= MAX_DRAIN_MILLIS)) {
      keep(move, MoveOrder.State.COMPLETED);
    }
  }

  private void publish(MoveOrder order, int permille, long elapsed, MoveOrder.State state) {
    MoveShare known = versions.share(order.service());
    long step = known == null ? 1 : known.step() + 1;
    versions.share(
        new MoveShare(order.service(), order.to(), order.order(), step, permille, elapsed, state));
    node.announceSoon();
  }

  /** Keeps a final state until the store has it. */
  private void keep(LedMove move, MoveOrder.State state) {
    if (move.keeping) {
      return;
    }
    move.keeping = true;
    durable.keepMove(
        move.order.in(state),
        kept -> {
          move.keeping = false;
          sink.decided("move-kept", null, "order", move.order, "state", state, "kept", kept);
          if (kept && state == MoveOrder.State.COMPLETED) {
            publish(move.order, MoveRamp.ALL_PERMILLE, 0, state);
          }
          if (kept) {
            settled.add(move.order.order());
            led.remove(move.order.service());
          }
        });
  }

  /** Keeps an outcome that was decided on, here or by a leader before this one. */
  private void settle(MoveOrder order) {
    if (settled.contains(order.order())) {
      return;
    }
    LedMove move = led.get(order.service());
    if (move == null || move.order.order() != order.order()) {
      move = new LedMove(order, loop.millis());
      led.put(order.service(), move);
    }
    keep(move, order.state());
  }

  private boolean oldIdle(MoveOrder order) {
    for (Peer peer : mesh.peers()) {
      NodeReport report = peer.report;
      if (report != null
          && report.upstream() != null
          && report.upstream().service().equals(order.service())
          && !report.upstream().version().equals(order.to())
          && peer.load.running() + peer.load.queued() > 0) {
        return false;
      }
    }
    UpstreamRecord own = node.upstream().record();
    boolean ownOld =
        own != null && own.service().equals(order.service()) && !own.version().equals(order.to());
    return !ownOld || node.upstream().running() == 0;
  }
}
