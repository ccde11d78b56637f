package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TokenBucket;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Ack;
import io.hemlockbend.core.message.PeerMessage.Announcement;
import io.hemlockbend.core.message.PeerMessage.Body;
import io.hemlockbend.core.message.PeerMessage.Delta;
import io.hemlockbend.core.message.PeerMessage.Members;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.Pull;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.ChangeException;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.core.table.RowValue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Owns which configuration this node has in force. One thread drives it: it calls {@link #tick}
 * several times a second, passes on every message, result and change of the members, and carries
 * out the effects that each call returns, in their order.
 */
public final class Distributor {
  private static final int BODY_BURST = 4;
  private static final long BODY_REFILL_MILLIS = 250;

  private final DistributionSettings settings;
  private final NodeId self;
  private final FailureDomain domain;
  private final ConfigurationCheck check;
  private final PeerSelector peers;
  private final ReadSchedule reads;
  private final ReadinessGate gate;
  private final Acquisition acquisition;
  private final DeltaHistory history;
  private final HeldConfiguration held;
  private final TokenBucket bodies = new TokenBucket(BODY_BURST, BODY_REFILL_MILLIS);
  private List<DistributionEffect> effects = new ArrayList<>();

  /**
   * Makes the state of a process that holds no configuration.
   *
   * @param self this node
   * @param domain the failure domain that it runs in
   * @param settings bounds of the distribution
   * @param digester computes digests to verify what is received
   * @param random draws peers and jitter
   */
  public Distributor(
      NodeId self,
      FailureDomain domain,
      DistributionSettings settings,
      ConfigurationDigester digester,
      RandomGenerator random) {
    this.settings = settings;
    this.self = self;
    this.domain = domain;
    this.check = new ConfigurationCheck(digester);
    this.peers = new PeerSelector(self, random);
    this.reads = new ReadSchedule(settings, random);
    this.gate = new ReadinessGate(settings);
    this.acquisition = new Acquisition(settings.pullTimeoutMillis(), random);
    this.history = new DeltaHistory(settings.historySteps());
    this.held = new HeldConfiguration(settings.witnessTimeoutMillis());
  }

  /** Takes in the members, whenever they change. */
  public void members(Collection<Member> members, long nowMillis) {
    peers.members(members);
    reads.elected(
        ReaderElection.draw(self, domain, members, settings.readersPerDomain()), nowMillis);
  }

  /** Takes in the newest version that peers recorded for this node. */
  public void recorded(ConfigurationVersion version) {
    gate.recorded(version);
  }

  /** Does what is due. */
  public List<DistributionEffect> tick(long nowMillis) {
    gate.started(nowMillis);
    if (reads.overdue(nowMillis)) {
      gate.tableUnavailable();
    }
    if (reads.due(nowMillis)) {
      effects.add(new DistributionEffect.ReadCurrent());
    }
    return progress(nowMillis);
  }

  /** Takes in a message; messages that do not concern the distribution are passed over. */
  public List<DistributionEffect> receive(PeerMessage message, long nowMillis) {
    switch (message) {
      case Announcement announcement -> heardOf(announcement.sender(), announcement.mark());
      case Pull pull -> answer(pull, nowMillis);
      case Body body -> receiveBody(body, nowMillis);
      case Delta delta -> receiveDelta(delta, nowMillis);
      case Ping ping -> inForceAt(ping.sender(), ping.mark(), nowMillis);
      case Ack ack -> inForceAt(ack.sender(), ack.mark(), nowMillis);
      case Members members -> inForceAt(members.sender(), members.mark(), nowMillis);
      default -> {
        return List.of();
      }
    }
    return progress(nowMillis);
  }

  /**
   * Takes in what the table names as in force.
   *
   * @param row the row, or empty when nothing was ever accepted
   * @param nowMillis the time
   */
  public List<DistributionEffect> currentRead(Optional<RowValue.Current> row, long nowMillis) {
    VersionMark mark =
        row.map(current -> new VersionMark(current.version(), current.digest()))
            .orElse(VersionMark.NONE);
    reads.answered(nowMillis);
    gate.tableRead(mark.version());
    compare(mark);
    acquisition.want(mark);
    return progress(nowMillis);
  }

  /** Takes in that the table did not answer a read of the row in force. */
  public List<DistributionEffect> currentUnavailable(long nowMillis) {
    reads.failed(nowMillis);
    gate.tableUnavailable();
    return progress(nowMillis);
  }

  /** Takes in history rows in the order of their versions. */
  public List<DistributionEffect> historyRead(List<RowValue.History> rows, long nowMillis) {
    if (rows.isEmpty()) {
      return historyUnavailable(nowMillis);
    }
    RowValue.History last = rows.getLast();
    List<List<Change>> steps = rows.stream().map(RowValue.History::changes).toList();
    long before = rows.getFirst().version().value() - 1;
    if (held.mark().version().value() == before) {
      takeSteps(new VersionMark(last.version(), last.digest()), steps, false, nowMillis);
    }
    return progress(nowMillis);
  }

  /** Takes in that history rows could not be read. */
  public List<DistributionEffect> historyUnavailable(long nowMillis) {
    acquisition.historyUnavailable();
    return progress(nowMillis);
  }

  /** Takes in a configuration from the object store. */
  public List<DistributionEffect> bodyFetched(
      Digest digest, Configuration configuration, long nowMillis) {
    takeBody(new VersionMark(configuration.version(), digest), configuration, false, nowMillis);
    return progress(nowMillis);
  }

  /** Takes in that the object store did not answer, or does not have the configuration. */
  public List<DistributionEffect> bodyUnavailable(Digest digest, long nowMillis) {
    return progress(nowMillis);
  }

  /**
   * Takes in that this node's own commit was accepted.
   *
   * @param mark number and digest of the configuration
   * @param configuration the configuration
   * @param changes what was changed
   * @param nowMillis the time
   */
  public List<DistributionEffect> accepted(
      VersionMark mark, Configuration configuration, List<Change> changes, long nowMillis) {
    ConfigurationVersion base = new ConfigurationVersion(mark.version().value() - 1);
    boolean follows = held.mark().version().equals(base);
    if (take(mark, configuration, false, nowMillis)) {
      history.add(follows ? base : mark.version(), mark.version(), List.of(changes));
    }
    return progress(nowMillis);
  }

  /** Returns the mark of the configuration in force. */
  public VersionMark mark() {
    return held.inForceMark();
  }

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return held.inForce();
  }

  /** Returns whether this process may serve. */
  public boolean ready() {
    return held.ready();
  }

  private List<DistributionEffect> progress(long nowMillis) {
    applyWhenDue(nowMillis);
    acquisition.next(held.mark(), peers::reachable, nowMillis).ifPresent(this::ask);
    List<DistributionEffect> done = effects;
    effects = new ArrayList<>();
    return done;
  }

  private void applyWhenDue(long nowMillis) {
    boolean open = held.ready() || gate.opens(held.mark().version(), peers.liveCount(), nowMillis);
    boolean first = !held.ready();
    if (!open || !held.applyWhenDue(peers.liveCount(), nowMillis)) {
      return;
    }
    if (!held.inForceMark().equals(VersionMark.NONE)) {
      effects.add(new DistributionEffect.Apply(held.inForceMark(), held.inForce()));
    }
    if (first) {
      announce(Optional.empty());
    }
  }

  private void ask(Acquisition.Source source) {
    switch (source) {
      case Acquisition.Source.Peer peer -> {
        VersionMark base = peer.whole() ? VersionMark.NONE : held.mark();
        send(peer.id(), new Pull(self, base));
      }
      case Acquisition.Source.History rows ->
          effects.add(new DistributionEffect.ReadHistory(rows.after(), rows.last()));
      case Acquisition.Source.Store store ->
          effects.add(new DistributionEffect.FetchBody(store.mark().digest()));
    }
  }

  private void send(NodeId to, PeerMessage message) {
    peers
        .address(to)
        .ifPresent(
            address -> effects.add(new DistributionEffect.Send(new Outbound(address, message))));
  }

  private void announce(Optional<NodeId> giver) {
    if (held.mark().equals(VersionMark.NONE)) {
      return;
    }
    Announcement announcement = new Announcement(self, held.mark());
    Set<NodeId> targets = peers.targets(settings.announceFanout());
    giver.ifPresent(targets::add);
    targets.forEach(target -> send(target, announcement));
  }

  private void heardOf(NodeId peer, VersionMark mark) {
    compare(mark);
    held.witness(mark);
    if (mark.newerThan(held.mark())) {
      acquisition.heldBy(peer, mark);
    }
  }

  private void inForceAt(NodeId peer, VersionMark mark, long nowMillis) {
    gate.heard(peer, mark);
    heardOf(peer, mark);
    boolean lags = held.mark().newerThan(mark) && !mark.equals(VersionMark.NONE);
    if (held.ready() && lags && held.settled(nowMillis)) {
      send(peer, new Announcement(self, held.mark()));
    }
  }

  private void compare(VersionMark mark) {
    if (held.newConflict(mark)) {
      refuse(mark, "another configuration of this version is held");
    }
  }

  private void refuse(VersionMark mark, String reason) {
    effects.add(new DistributionEffect.Refused(mark, reason));
  }

  private void answer(Pull pull, long nowMillis) {
    if (!held.ready() || !held.mark().newerThan(pull.held())) {
      return;
    }
    Optional<List<List<Change>>> steps = history.since(pull.held().version());
    if (steps.isPresent()) {
      send(pull.sender(), new Delta(self, pull.held(), held.mark(), steps.get()));
    } else if (bodies.take(nowMillis)) {
      send(pull.sender(), new Body(self, held.mark(), held.newest()));
    }
  }

  private void receiveBody(Body body, long nowMillis) {
    heardOf(body.sender(), body.mark());
    if (takeBody(body.mark(), body.configuration(), true, nowMillis)) {
      thank(body.sender());
    }
  }

  private void receiveDelta(Delta delta, long nowMillis) {
    heardOf(delta.sender(), delta.mark());
    if (delta.base().version().equals(held.mark().version())
        && takeSteps(delta.mark(), delta.steps(), true, nowMillis)) {
      thank(delta.sender());
    }
  }

  /** Tells the giver that this node holds the configuration too. */
  private void thank(NodeId giver) {
    send(giver, new Announcement(self, held.mark()));
  }

  private boolean takeSteps(
      VersionMark mark, List<List<Change>> steps, boolean witnessed, long nowMillis) {
    ConfigurationVersion base = held.mark().version();
    Configuration result = held.newest();
    try {
      for (List<Change> step : steps) {
        result = ChangeApplier.apply(result, step);
      }
    } catch (ChangeException e) {
      refuse(mark, "changes do not fit version " + base + ": " + e.getMessage());
      acquisition.changesRefused();
      return false;
    }
    if (!take(mark, result, witnessed, nowMillis)) {
      return false;
    }
    history.add(base, mark.version(), steps);
    return true;
  }

  private boolean takeBody(
      VersionMark mark, Configuration configuration, boolean witnessed, long nowMillis) {
    if (!take(mark, configuration, witnessed, nowMillis)) {
      return false;
    }
    history.reset(mark.version());
    return true;
  }

  /** Takes a configuration in when it is newer than what is held and verifies. */
  private boolean take(
      VersionMark mark, Configuration configuration, boolean witnessed, long nowMillis) {
    if (!mark.newerThan(held.mark())) {
      compare(mark);
      return false;
    }
    Optional<String> fault = check.fault(mark, configuration);
    if (fault.isPresent()) {
      refuse(mark, fault.get());
      acquisition.changesRefused();
      return false;
    }
    held.hold(mark, configuration, witnessed, nowMillis);
    acquisition.want(mark);
    acquisition.obtained();
    if (held.ready()) {
      announce(Optional.empty());
    }
    return true;
  }
}
