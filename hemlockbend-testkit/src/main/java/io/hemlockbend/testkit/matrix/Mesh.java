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

/** The model of one service: upstreams with their nodes, entries, callers, table and faults. */
final class Mesh {
  static final VersionKey VERSION =
      new VersionKey(new ServiceName("orders"), new VersionName("v1"));
  static final RouteName ROUTE = new RouteName("orders");

  /** The upper bound of the time until an announcement has reached all processes. */
  static final long MAX_PROPAGATION_MILLIS = 300;

  private static final long HOP_MILLIS = 1;

  private final EventQueue queue = new EventQueue();
  private final List<NodeModel> nodes = new ArrayList<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final List<Entry> callerEntries = new ArrayList<>();
  private final List<TraceEvent> trace = new ArrayList<>();
  private final Random random;
  private final Sizes sizes;
  private final Policies policies;
  private final FakeTable table;
  private final FaultPlan plan;
  private final Callers callers;

  Mesh(long seed, Sizes sizes, Policies policies, FaultPlan plan) {
    this.random = new Random(seed);
    this.sizes = sizes;
    this.policies = policies;
    this.plan = plan;
    this.table = new FakeTable(queue, random);
    for (int i = 1; i <= sizes.upstreams(); i++) {
      UpstreamModel upstream = new UpstreamModel(new UpstreamId("u" + i), this, sizes.slots());
      nodes.add(new NodeModel(upstream, this, sizes.slots()));
    }
    for (int i = 0; i < sizes.entries(); i++) {
      entries.add(new EntryModel(this, nodes));
      callerEntries.add(policies.entry(this, entries.getLast()));
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

  FakeTable table() {
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

  /** Returns the entry that callers use, which a policy may have substituted. */
  Entry callerEntry(int number) {
    return callerEntries.get(number);
  }

  List<TraceEvent> trace() {
    return trace;
  }

  void trace(TraceEvent event) {
    trace.add(event);
  }

  /** Injects the faults planned for a step that a send has reached at an upstream. */
  void stepReached(Step step, Send send, UpstreamModel upstream) {
    plan.stepReached(this, step, send, upstream);
  }

  boolean crashes(Send send) {
    return plan.crashes(send.request);
  }

  long answerDelayMillis(Send send) {
    return plan.answerDelayMillis(send.request);
  }

  void announce(UpstreamId upstream, boolean takesWork) {
    for (EntryModel entry : entries) {
      queue.schedule(drawPropagationMillis(), () -> entry.setAvailable(upstream, takesWork));
    }
  }

  void gossip(List<Suspicion> reports) {
    for (NodeModel node : nodes) {
      node.process()
          .deliver(drawPropagationMillis(), () -> node.quarantine().merge(reports, queue.now()));
    }
  }

  List<Suspicion> knownReports() {
    return nodes.stream().flatMap(node -> node.quarantine().reports().stream()).toList();
  }

  void reply(SendAttempt attempt, SendAttempt.Reply reply) {
    queue.schedule(HOP_MILLIS, () -> attempt.entry.replyReceived(attempt, reply));
  }

  void breakConnection(SendAttempt attempt) {
    queue.schedule(HOP_MILLIS, () -> attempt.entry.connectionBroken(attempt));
  }

  /**
   * Handles a reply to an attempt that is no longer open. It is lost with its connection, unless
   * the policy leaves timed-out connections open: then another attempt to the node receives it.
   */
  void lateReply(SendAttempt attempt, SendAttempt.Reply reply) {
    List<SendAttempt> others = attempt.entry.openAttemptsTo(attempt.node.id());
    if (!policies.closesTimedOutConnections() && !others.isEmpty()) {
      attempt.entry.replyReceived(others.getFirst(), reply);
    }
  }

  /** Draws the time that an announcement takes from one process to another. */
  long drawPropagationMillis() {
    return MAX_PROPAGATION_MILLIS / 3 + random.nextInt((int) (MAX_PROPAGATION_MILLIS * 2 / 3));
  }
}
