package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** One service: its upstreams with their nodes, the entries, the table, and what goes wrong. */
final class Mesh {
  static final VersionKey VERSION =
      new VersionKey(new ServiceName("orders"), new VersionName("v1"));
  static final RouteName ROUTE = new RouteName("orders");

  /** The longest time until all know what one node tells. */
  static final long SPREAD_MILLIS = 300;

  private static final long HOP_MILLIS = 1;

  private final EventQueue queue = new EventQueue();
  private final List<NodeModel> nodes = new ArrayList<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final List<Entry> fronts = new ArrayList<>();
  private final List<TraceEvent> trace = new ArrayList<>();
  private final Random random;
  private final Sizes sizes;
  private final Policies policies;
  private final TableStandIn table;
  private final FaultPlan plan;
  private final Callers callers;

  Mesh(long seed, Sizes sizes, Policies policies, FaultPlan plan) {
    this.random = new Random(seed);
    this.sizes = sizes;
    this.policies = policies;
    this.plan = plan;
    this.table = new TableStandIn(queue, random);
    for (int i = 1; i <= sizes.upstreams(); i++) {
      UpstreamModel upstream = new UpstreamModel(new UpstreamId("u" + i), this, sizes.slots());
      nodes.add(new NodeModel(upstream, this, sizes.slots()));
    }
    for (int i = 0; i < sizes.entries(); i++) {
      entries.add(new EntryModel(this, nodes));
      fronts.add(policies.entry(this, entries.getLast()));
    }
    this.callers = new Callers(this);
  }

  EventQueue queue() {
    return queue;
  }

  RandomGenerator random() {
    return random;
  }

  Sizes sizes() {
    return sizes;
  }

  Policies policies() {
    return policies;
  }

  TableStandIn table() {
    return table;
  }

  List<NodeModel> nodes() {
    return nodes;
  }

  List<EntryModel> entries() {
    return entries;
  }

  Callers callers() {
    return callers;
  }

  /** Returns what callers send to. */
  Entry front(int number) {
    return fronts.get(number);
  }

  List<TraceEvent> trace() {
    return trace;
  }

  void trace(TraceEvent event) {
    trace.add(event);
  }

  /** A send comes to a step beside an upstream; the plan may let something go wrong. */
  void step(Step step, Send send, UpstreamModel upstream) {
    plan.reached(this, step, send, upstream);
  }

  boolean crashes(Send send) {
    return plan.crashes(send.request);
  }

  long lateMillis(Send send) {
    return plan.lateMillis(send.request);
  }

  void announce(UpstreamId upstream, boolean takesWork) {
    for (EntryModel entry : entries) {
      queue.in(spread(), () -> entry.learn(upstream, takesWork));
    }
  }

  void gossip(List<Suspicion> reports) {
    for (NodeModel node : nodes) {
      node.process().deliver(spread(), () -> node.quarantine().merge(reports, queue.now()));
    }
  }

  List<Suspicion> knownReports() {
    return nodes.stream().flatMap(node -> node.quarantine().reports().stream()).toList();
  }

  void reply(Try attempt, Try.Reply reply) {
    queue.in(HOP_MILLIS, () -> attempt.entry.replied(attempt, reply));
  }

  void breakTry(Try attempt) {
    queue.in(HOP_MILLIS, () -> attempt.entry.broke(attempt));
  }

  /** A reply comes on a connection that is closed, so that it reaches nobody, or should be. */
  void lateReply(Try attempt, Try.Reply reply) {
    List<Try> others = attempt.entry.openTo(attempt.node.id());
    if (!policies.closesTimedOutConnections() && !others.isEmpty()) {
      attempt.entry.replied(others.getFirst(), reply);
    }
  }

  /** Draws how long it takes until one process knows what another tells. */
  long spread() {
    return SPREAD_MILLIS / 3 + random.nextInt((int) (SPREAD_MILLIS * 2 / 3));
  }
}
