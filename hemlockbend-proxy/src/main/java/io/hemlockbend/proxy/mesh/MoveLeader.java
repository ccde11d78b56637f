package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.rollout.MoveRamp;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.MoveShare;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.OperatorOrders;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Leads traffic moves while this node is the first by name of those that reach the store. Sets the
 * share of a move's target version from the reports of all nodes and saves the outcome in the store
 * with a conditional write, so that two concurrent leaders cannot save contradicting outcomes.
 */
public final class MoveLeader {
  private static final long TICK_MILLIS = 250;

  /**
   * How long a node that has started leaves the lead to others: until it has their answers, it is
   * the first of those that it hears. Three ping periods.
   */
  private static final long JOINING_MILLIS = 1_500;

  private static final long MIN_DRAIN_MILLIS = 1_000;
  private static final long MAX_DRAIN_MILLIS = 2_500;

  /** How long one upstream of the target version gets all of its share. */
  private static final long TURN_MILLIS = 500;

  private final EventLoop loop;
  private final PeerMesh mesh;
  private final MeshNode node;
  private final ServiceVersions versions;
  private final DurableState durable;
  private final DecisionSink sink;
  private final long startMillis;
  private final Map<ServiceName, LedMove> ledMoves = new HashMap<>();
  private final Set<StoreVersion> savedOrders = new HashSet<>();
  private final Map<ServiceName, Long> orderSeenMillis = new HashMap<>();
  private final Map<ServiceName, MoveOrder> lastOrder = new HashMap<>();

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
    this.startMillis = loop.millis();
    loop.every(TICK_MILLIS, this::tick);
  }

  void updateOrders(OperatorOrders updated, boolean restoredLately) {
    for (MoveOrder order : updated.moves()) {
      MoveOrder known = lastOrder.put(order.service(), order);
      if (!order.continues(known, restoredLately)) {
        orderSeenMillis.put(order.service(), loop.millis());
      } else if (!order.order().equals(known.order())) {
        LedMove move = ledMoves.get(order.service());
        if (move != null) {
          move.continueAs(versions.order(order.service()));
        }
      }
    }
  }

  private void tick() {
    boolean leader = isLeader();
    mesh.leadsMoves(leader ? versions.moving() : Set.of());
    if (!leader) {
      ledMoves.clear();
      return;
    }
    for (MoveOrder known : node.orders().moves()) {
      MoveOrder order = versions.order(known.service());
      if (order != null && order.state() == MoveOrder.State.RUNNING) {
        lead(order);
      } else if (order != null && known.state() == MoveOrder.State.RUNNING) {
        saveOutcome(order);
      }
    }
  }

  /** Returns whether this node leads. */
  boolean isLeader() {
    boolean joining = loop.millis() - startMillis < JOINING_MILLIS;
    if (joining || !node.storeReachable() || node.leaving()) {
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
    LedMove move = ledMoves.get(order.service());
    if (move == null || !move.order.order().equals(order.order())) {
      move = begin(order);
      ledMoves.put(order.service(), move);
    }
    if (!move.startSaveRequested && mayBeSaved(order)) {
      move.startSaveRequested = true;
      durable.saveMove(order, saved -> {});
    }
    collectEvidence(move);
    long nowMillis = loop.millis();
    int permille = versions.permille(order.service());
    Verdict verdict = move.evidence.verdict(permille, nowMillis);
    long elapsedMillis = nowMillis - move.startMillis;
    List<UpstreamId> upstreams = upstreamsOf(order);
    switch (move.ramp.next(verdict, upstreams.size(), elapsedMillis, order.durationMillis())) {
      case MoveRamp.Step.Share share ->
          applyShare(
              move,
              share.permille(),
              share.oneUpstream() ? inTurn(upstreams, elapsedMillis) : Optional.empty(),
              elapsedMillis,
              verdict);
      case MoveRamp.Step.Complete ignored -> complete(move, elapsedMillis, verdict);
      case MoveRamp.Step.TakeBack rollback -> {
        sink.emit(
            "move-taken-back",
            null,
            "order",
            order,
            "why",
            rollback.reason(),
            "calls",
            move.evidence.calls(),
            "elapsed",
            elapsedMillis);
        publish(order, 0, Optional.empty(), elapsedMillis, MoveOrder.State.ROLLED_BACK);
        save(move, MoveOrder.State.ROLLED_BACK);
      }
    }
  }

  private LedMove begin(MoveOrder order) {
    long startMillis = orderSeenMillis.getOrDefault(order.service(), loop.millis());
    MoveShare known = versions.share(order.service());
    LedMove move = new LedMove(order, startMillis);
    if (known != null) {
      move.startMillis = Math.min(startMillis, loop.millis() - known.elapsedMillis());
      move.ramp.resume(known.permille());
    }
    sink.emit("move-led", null, "order", order, "beganMillisAgo", loop.millis() - move.startMillis);
    return move;
  }

  private void collectEvidence(LedMove move) {
    UpstreamRecord own = node.upstream().record();
    if (own != null && own.service().equals(move.order.service())) {
      move.evidence.add(own, node.upstream().routeCounts());
    }
    for (Peer peer : mesh.peers()) {
      NodeReport report = peer.report;
      if (report != null
          && report.upstream() != null
          && report.upstream().service().equals(move.order.service())) {
        move.evidence.add(report.upstream(), report.routeCounts());
      }
    }
  }

  private void applyShare(
      LedMove move,
      int permille,
      Optional<UpstreamId> onlyUpstream,
      long elapsedMillis,
      Verdict verdict) {
    MoveShare known = versions.share(move.order.service());
    if (known == null
        || known.permille() != permille
        || !known.onlyUpstream().equals(onlyUpstream)) {
      sink.emit(
          "move-share",
          null,
          "order",
          move.order,
          "permille",
          permille,
          "onlyUpstream",
          onlyUpstream.orElse(null),
          "elapsed",
          elapsedMillis,
          "calls",
          move.evidence.calls(),
          "verdict",
          verdict);
      publish(move.order, permille, onlyUpstream, elapsedMillis, MoveOrder.State.RUNNING);
      move.shareChangedMillis = loop.millis();
    }
  }

  /** Completes a move at full share once the previous version has ended its requests. */
  private void complete(LedMove move, long elapsedMillis, Verdict verdict) {
    applyShare(move, MoveRamp.FULL_SHARE_PERMILLE, Optional.empty(), elapsedMillis, verdict);
    long unchangedMillis = loop.millis() - move.shareChangedMillis;
    boolean drained = oldVersionIdle(move.order) || unchangedMillis >= MAX_DRAIN_MILLIS;
    if (unchangedMillis >= MIN_DRAIN_MILLIS && drained) {
      save(move, MoveOrder.State.COMPLETED);
    }
  }

  /** Returns the upstreams of a move's target version that accept work, sorted. */
  private List<UpstreamId> upstreamsOf(MoveOrder order) {
    List<UpstreamId> found = new ArrayList<>();
    addIfTarget(found, order, node.upstream().record(), node.upstream().load());
    for (Peer peer : mesh.peers()) {
      if (peer.report != null && mesh.alive(peer) && !peer.report.leaving()) {
        addIfTarget(found, order, peer.report.upstream(), peer.load);
      }
    }
    found.sort(Comparator.comparing(UpstreamId::value));
    return found;
  }

  private static void addIfTarget(
      List<UpstreamId> found, MoveOrder order, UpstreamRecord upstream, UpstreamLoad load) {
    if (upstream != null
        && upstream.service().equals(order.service())
        && upstream.version().equals(order.to())
        && !upstream.draining()
        && load.limit() > 0) {
      found.add(upstream.id());
    }
  }

  /** Returns the upstream whose turn it is; a slow or faulty one must not stand for its version. */
  private static Optional<UpstreamId> inTurn(List<UpstreamId> upstreams, long elapsedMillis) {
    return upstreams.isEmpty()
        ? Optional.empty()
        : Optional.of(upstreams.get((int) (elapsedMillis / TURN_MILLIS % upstreams.size())));
  }

  private void publish(
      MoveOrder order,
      int permille,
      Optional<UpstreamId> onlyUpstream,
      long elapsedMillis,
      MoveOrder.State state) {
    MoveShare known = versions.share(order.service());
    long step = known == null ? 1 : known.step() + 1;
    versions.applyShare(
        new MoveShare(
            order.service(),
            order.to(),
            order.order(),
            step,
            permille,
            onlyUpstream,
            elapsedMillis,
            state));
    node.scheduleAnnouncement();
  }

  /** Saves a final state; {@link #tick} repeats this until the store has it. */
  private void save(LedMove move, MoveOrder.State state) {
    MoveOrder order = move.order;
    if (move.saving || !mayBeSaved(order)) {
      return;
    }
    move.saving = true;
    durable.saveMove(
        order.withState(state),
        saved -> {
          move.saving = false;
          sink.emit("move-kept", null, "order", order, "state", state, "kept", saved);
          if (saved && state == MoveOrder.State.COMPLETED) {
            publish(move.order, MoveRamp.FULL_SHARE_PERMILLE, Optional.empty(), 0, state);
          }
          if (saved) {
            savedOrders.add(order.order());
            ledMoves.remove(move.order.service());
          }
        });
  }

  /** Returns whether the store shows an order since it was last restored. */
  private boolean mayBeSaved(MoveOrder order) {
    return order.order().era() == node.orders().version().era();
  }

  /** Saves an outcome that this node or a previous leader has decided. */
  private void saveOutcome(MoveOrder order) {
    if (savedOrders.contains(order.order())) {
      return;
    }
    LedMove move = ledMoves.get(order.service());
    if (move == null || !move.order.order().equals(order.order())) {
      move = new LedMove(order, loop.millis());
      ledMoves.put(order.service(), move);
    }
    save(move, order.state());
  }

  private boolean oldVersionIdle(MoveOrder order) {
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
