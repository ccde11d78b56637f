package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TokenBucket;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.Join;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.PingRequest;
import io.hemlockbend.core.message.PeerMessage.Reconcile;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The membership protocol of one node. Not thread-safe: one thread calls {@link #tick} at least
 * every {@code gossipIntervalMillis}, {@link #receive} for each message, and sends what they
 * return. A message may be lost, delayed, duplicated or reordered.
 */
public final class Membership {
  private static final int JOIN_ANSWERS_BURST = 50;
  private static final long JOIN_ANSWERS_REFILL_MILLIS = 5;

  private final MemberView view;
  private final MemberTable table;
  private final GossipComposer composer;
  private final OutstandingProbes probes = new OutstandingProbes();
  private final Joiner joiner;
  private final PeriodicTasks tasks;
  private final TokenBucket joinAnswers =
      new TokenBucket(JOIN_ANSWERS_BURST, JOIN_ANSWERS_REFILL_MILLIS);

  /**
   * Creates the state of a node that knows no other.
   *
   * @param self the node's claim about itself; an incarnation that increases with each start of the
   *     process, such as its start time, saves a round of refutation
   * @param settings bounds of the protocol
   * @param random source of peer selection and jitter
   */
  public Membership(Member self, MembershipSettings settings, RandomGenerator random) {
    this.view = new MemberView(self, settings, random);
    this.table = view.table();
    this.composer = view.composer();
    this.joiner = new Joiner(random);
    this.tasks = new PeriodicTasks(settings, random, view, probes, joiner);
  }

  /**
   * Runs the periodic tasks that are due.
   *
   * @param nowMillis the time
   * @return the messages to send
   */
  public List<Outbound> tick(long nowMillis) {
    return self().status() == MemberStatus.LEFT ? List.of() : tasks.runDue(nowMillis);
  }

  /**
   * Processes a message; messages that do not concern membership are ignored.
   *
   * @param message the message
   * @param nowMillis the time
   * @return the messages to send
   */
  public List<Outbound> receive(PeerMessage message, long nowMillis) {
    tasks.detectFreeze(nowMillis);
    return switch (message) {
      case Ping ping -> receivePing(ping, nowMillis);
      case Ack ack -> receiveAck(ack, nowMillis);
      case PingRequest request -> relayPing(request);
      case Join join -> receiveJoin(join, nowMillis);
      case Members members -> receiveMembers(members, nowMillis);
      case Reconcile reconcile -> answerReconcile(reconcile);
      default -> List.of();
    };
  }

  /**
   * Joins the mesh; the join is sent again with back-off until a node answers.
   *
   * @param seeds control addresses of nodes that may be up
   * @param nowMillis the time
   * @return the messages to send
   */
  public List<Outbound> join(List<NodeAddress> seeds, long nowMillis) {
    tasks.introduceUntil(nowMillis + MembershipSettings.INTRODUCTION_MILLIS);
    joiner.start(seeds, self().control(), nowMillis);
    return tick(nowMillis);
  }

  /**
   * Leaves the mesh; {@link #tick} returns no messages afterwards.
   *
   * @param nowMillis the time
   * @return the messages that notify some peers, which gossip it to the others
   */
  public List<Outbound> leave(long nowMillis) {
    view.leave();
    return pingsWithoutAck(nowMillis);
  }

  /** Announces the upstream beside this node, or that there is none. */
  public void endpoint(Optional<Endpoint> endpoint) {
    view.endpoint(endpoint);
  }

  /**
   * Pings live members that are not known to have a version in force, so that an operator who waits
   * for a rollout sees its progress early. Their acks update the applied versions of {@link
   * #members}.
   *
   * @param version the version
   * @param max the maximum number of members to ping; each answer takes some hundred bytes
   * @param nowMillis the time
   * @return the messages to send
   */
  public List<Outbound> pingLagging(ConfigurationVersion version, int max, long nowMillis) {
    return tasks.pingLagging(version, max, nowMillis);
  }

  /** Records the configuration that this node has in force. */
  public void applied(VersionMark mark) {
    view.self().applied(mark.version());
    view.fence().applied(mark);
  }

  /** Records a read of the table and the configuration that it named. */
  public void tableRead(VersionMark mark) {
    view.fence().tableRead(mark);
  }

  /** Starts to gossip a brake of this node. */
  public void spread(Brake brake) {
    composer.brakes().spread(brake);
  }

  /** Starts to gossip a crash report of this node. */
  public void spread(Suspicion suspicion) {
    composer.suspicions().spread(suspicion);
  }

  /**
   * Sends pending gossip at once instead of at the next interval: to every peer of a small mesh,
   * and to as many of a large one as reach the others with near certainty.
   *
   * @param nowMillis the time
   * @return the messages to send
   */
  public List<Outbound> gossipNow(long nowMillis) {
    return composer.hasPending() ? pingsWithoutAck(nowMillis) : List.of();
  }

  /** Returns the brakes received for the first time since the last call. */
  public List<Brake> receivedBrakes() {
    return composer.brakes().drain();
  }

  /** Returns the crash reports received for the first time since the last call. */
  public List<Suspicion> receivedSuspicions() {
    return composer.suspicions().drain();
  }

  /** Removes the brakes that do not match the predicate, so that they are no longer sent. */
  public void retainBrakes(Predicate<Brake> holds) {
    composer.brakes().retain(holds);
  }

  /** Returns all members known, this node among them. */
  public Collection<Member> members() {
    List<Member> members = new ArrayList<>(table.all());
    members.add(self());
    return members;
  }

  /** Returns what is known of a node. */
  public Optional<Member> find(NodeId id) {
    return id.equals(view.id()) ? Optional.of(self()) : table.find(id);
  }

  /** Returns this node's claim about itself. */
  public Member self() {
    return view.self().member();
  }

  /**
   * Returns a counter that increases when a status, an address or an endpoint changes, and when
   * peers report a newer applied version for this node than was known.
   */
  public long changes() {
    return view.changes();
  }

  /** Returns the newest applied version that peers recorded for this node, before restarts too. */
  public ConfigurationVersion recordedApplied() {
    return view.self().recorded();
  }

  /** Returns whether this process was frozen and has not yet caught up. */
  public boolean fenced() {
    return view.fence().fenced();
  }

  private List<Outbound> pingsWithoutAck(long nowMillis) {
    return table.randomLive(composer.transmissions()).stream()
        .map(peer -> tasks.pingWithoutAck(peer, nowMillis))
        .toList();
  }

  private List<Outbound> receivePing(Ping ping, long nowMillis) {
    view.mergeAndGossipAll(ping.news(), nowMillis);
    composer.receive(ping.brakes(), ping.suspicions(), nowMillis);
    view.peerApplied(ping.sender(), ping.mark());
    if (ping.sequence() == GossipComposer.NO_ACK) {
      return List.of();
    }
    return table
        .find(ping.sender())
        .map(
            peer -> {
              Ack ack = composer.ack(peer, ping.sequence(), nowMillis, view.mark());
              return List.of(new Outbound(peer.control(), ack));
            })
        .orElse(List.of());
  }

  private List<Outbound> receiveAck(Ack ack, long nowMillis) {
    view.mergeAndGossipAll(ack.news(), nowMillis);
    composer.receive(ack.brakes(), ack.suspicions(), nowMillis);
    view.peerApplied(ack.sender(), ack.mark());
    if (probes.completeProbe(ack.sequence(), ack.sender())) {
      view.fence().answered(ack.sender(), ack.mark(), table.liveCount());
    }
    return probes
        .completeRelay(ack.sequence())
        .flatMap(relay -> table.find(relay.origin()).map(origin -> relayedAck(ack, relay, origin)))
        .map(List::of)
        .orElse(List.of());
  }

  private static Outbound relayedAck(Ack ack, OutstandingProbes.Relay relay, Member origin) {
    Ack forwarded =
        new Ack(
            ack.sender(),
            relay.originSequence(),
            ack.mark(),
            ack.news(),
            ack.brakes(),
            ack.suspicions());
    return new Outbound(origin.control(), forwarded);
  }

  private List<Outbound> relayPing(PingRequest request) {
    return table
        .find(request.target())
        .map(
            target -> {
              long sequence = probes.startRelay(request.sender(), request.sequence());
              Ping ping =
                  new Ping(
                      view.id(),
                      sequence,
                      view.mark(),
                      List.of(self(), target),
                      List.of(),
                      List.of());
              return List.of(new Outbound(target.control(), ping));
            })
        .orElse(List.of());
  }

  private List<Outbound> receiveJoin(Join join, long nowMillis) {
    if (!joinAnswers.tryAcquire(nowMillis)) {
      return List.of();
    }
    List<Member> sample = new ArrayList<>();
    sample.add(self());
    table.find(join.sender()).ifPresent(sample::add);
    sample.addAll(table.randomLive(MembershipSettings.JOIN_SAMPLE));
    view.mergeAndGossip(join.self(), nowMillis);
    NodeAddress joiner = join.self().control();
    Members members = new Members(view.id(), view.mark(), sample);
    Ping reports = composer.pingWithReports(view.mark());
    if (reports.brakes().isEmpty() && reports.suspicions().isEmpty()) {
      return List.of(new Outbound(joiner, members));
    }
    return List.of(new Outbound(joiner, members), new Outbound(joiner, reports));
  }

  private List<Outbound> receiveMembers(Members members, long nowMillis) {
    joiner.answered();
    long before = table.changes();
    view.mergeAll(members.members(), nowMillis);
    view.peerApplied(members.sender(), members.mark());
    if (table.changes() - before > MembershipSettings.JOIN_SAMPLE / 4) {
      tasks.reconcileSoon(nowMillis);
    }
    return List.of();
  }

  private List<Outbound> answerReconcile(Reconcile reconcile) {
    Optional<Member> peer = table.find(reconcile.sender());
    List<Member> claims =
        table.differing(reconcile.bucketHashes(), MembershipSettings.RECONCILE_SAMPLE);
    if (peer.isEmpty() || claims.isEmpty()) {
      return List.of();
    }
    Members members = new Members(view.id(), view.mark(), claims);
    return List.of(new Outbound(peer.get().control(), members));
  }
}
