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
 * Determines which configuration this node has in force. Not thread-safe: one thread calls {@link
 * #tick} several times a second, passes in every message, result and change of the members, and
 * executes the effects that each call returns, in order.
 */
public final class Distributor {
  private static final int BODY_BURST = 4;
  private static final long BODY_REFILL_MILLIS = 250;

  private final DistributionSettings settings;
  private final NodeId self;
  private final FailureDomain domain;
  private final ConfigurationVerifier verifier;
  private final PeerSelector peers;
  private final ReadSchedule reads;
  private final ReadinessGate gate;
  private final Acquisition acquisition;
  private final DeltaHistory history;
  private final HeldConfiguration held;
  private final TokenBucket bodyBucket = new TokenBucket(BODY_BURST, BODY_REFILL_MILLIS);
  private List<DistributionEffect> effects = new ArrayList<>();

  /**
   * Creates the state of a process that holds no configuration.
   *
   * @param self this node
   * @param domain the failure domain that it runs in
   * @param settings settings of the distribution
   * @param digester computes the digests that received configurations are verified against
   * @param random source of peer selection and jitter
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
    this.verifier = new ConfigurationVerifier(digester);
    this.peers = new PeerSelector(self, random);
    this.reads = new ReadSchedule(settings, random);
    this.gate = new ReadinessGate(settings);
    this.acquisition = new Acquisition(settings.pullTimeoutMillis(), random);
    this.history = new DeltaHistory(settings.historySteps());
    this.held = new HeldConfiguration(settings.replicationTimeoutMillis());
  }

  /** Updates the members; to be called whenever they change. */
  public void members(Collection<Member> members, long nowMillis) {
    peers.members(members);
    reads.elected(
        ReaderElection.elect(self, domain, members, settings.readersPerDomain()), nowMillis);
  }

  /** Sets the newest applied version that peers recorded for this node. */
  public void recorded(ConfigurationVersion version) {
    gate.recorded(version);
  }

  /** Runs the periodic tasks that are due. */
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

  /** Processes a message; messages that do not concern the distribution are ignored. */
  public List<DistributionEffect> receive(PeerMessage message, long nowMillis) {
    switch (message) {
      case Announcement announcement -> observe(announcement.sender(), announcement.mark());
      case Pull pull -> answer(pull, nowMillis);
      case Body body -> receiveBody(body, nowMillis);
      case Delta delta -> receiveDelta(delta, nowMillis);
      case Ping ping -> peerApplied(ping.sender(), ping.mark(), nowMillis);
      case Ack ack -> peerApplied(ack.sender(), ack.mark(), nowMillis);
      case Members members -> peerApplied(members.sender(), members.mark(), nowMillis);
      default -> {
        return List.of();
      }
    }
    return progress(nowMillis);
  }

  /**
   * Handles the table row that names the configuration in force.
   *
   * @param row the row, or empty when no configuration was ever accepted
   * @param nowMillis the time
   */
  public List<DistributionEffect> currentRead(Optional<RowValue.Current> row, long nowMillis) {
    VersionMark mark =
        row.map(current -> new VersionMark(current.version(), current.digest()))
            .orElse(VersionMark.NONE);
    reads.answered(nowMillis);
    gate.tableRead(mark.version());
    detectConflict(mark);
    acquisition.raiseTarget(mark);
    return progress(nowMillis);
  }

  /** Handles a failed read of the table row that names the configuration in force. */
  public List<DistributionEffect> currentUnavailable(long nowMillis) {
    reads.failed(nowMillis);
    gate.tableUnavailable();
    return progress(nowMillis);
  }

  /** Handles history rows, which must be in ascending order of versions. */
  public List<DistributionEffect> historyRead(List<RowValue.History> rows, long nowMillis) {
    if (rows.isEmpty()) {
      return historyUnavailable(nowMillis);
    }
    RowValue.History last = rows.getLast();
    List<List<Change>> steps = rows.stream().map(RowValue.History::changes).toList();
    long before = rows.getFirst().version().value() - 1;
    if (held.mark().version().value() == before) {
      applySteps(new VersionMark(last.version(), last.digest()), steps, false, nowMillis);
    }
    return progress(nowMillis);
  }

  /** Handles a failed read of history rows. */
  public List<DistributionEffect> historyUnavailable(long nowMillis) {
    acquisition.historyUnavailable();
    return progress(nowMillis);
  }

  /** Handles a configuration fetched from the object store. */
  public List<DistributionEffect> bodyFetched(
      Digest digest, Configuration configuration, long nowMillis) {
    holdBody(new VersionMark(configuration.version(), digest), configuration, false, nowMillis);
    return progress(nowMillis);
  }

  /** Handles an object store that did not answer or does not have the configuration. */
  public List<DistributionEffect> bodyUnavailable(Digest digest, long nowMillis) {
    return progress(nowMillis);
  }

  /**
   * Handles the acceptance of this node's own commit.
   *
   * @param mark version and digest of the configuration
   * @param configuration the configuration
   * @param changes the changes of the commit
   * @param nowMillis the time
   */
  public List<DistributionEffect> accepted(
      VersionMark mark, Configuration configuration, List<Change> changes, long nowMillis) {
    ConfigurationVersion base = new ConfigurationVersion(mark.version().value() - 1);
    boolean follows = held.mark().version().equals(base);
    if (verifyAndHold(mark, configuration, false, nowMillis)) {
      history.add(follows ? base : mark.version(), mark.version(), List.of(changes));
    }
    return progress(nowMillis);
  }

  /** Returns the version and digest of the configuration in force. */
  public VersionMark mark() {
    return held.inForceMark();
  }

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return held.inForce();
  }

  /** Returns whether this process has a configuration that it may serve with. */
  public boolean ready() {
    return held.ready();
  }

  private List<DistributionEffect> progress(long nowMillis) {
    applyWhenDue(nowMillis);
    acquisition.next(held.mark(), peers::reachable, nowMillis).ifPresent(this::request);
    List<DistributionEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  private void applyWhenDue(long nowMillis) {
    boolean open =
        held.ready() || gate.mayApply(held.mark().version(), peers.liveCount(), nowMillis);
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

  private void request(Acquisition.Source source) {
    switch (source) {
      case Acquisition.Source.Peer peer -> {
        VersionMark base = peer.fullBody() ? VersionMark.NONE : held.mark();
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

  private void announce(Optional<NodeId> source) {
    if (held.mark().equals(VersionMark.NONE)) {
      return;
    }
    Announcement announcement = new Announcement(self, held.mark());
    Set<NodeId> targets = peers.targets(settings.announceFanout());
    source.ifPresent(targets::add);
    targets.forEach(target -> send(target, announcement));
  }

  private void observe(NodeId peer, VersionMark mark) {
    detectConflict(mark);
    held.recordHolder(mark);
    if (mark.newerThan(held.mark())) {
      acquisition.addHolder(peer, mark);
    }
  }

  private void peerApplied(NodeId peer, VersionMark mark, long nowMillis) {
    gate.peerApplied(peer, mark);
    observe(peer, mark);
    boolean lags = held.mark().newerThan(mark) && !mark.equals(VersionMark.NONE);
    if (held.ready() && lags && held.settled(nowMillis)) {
      send(peer, new Announcement(self, held.mark()));
    }
  }

  private void detectConflict(VersionMark mark) {
    if (held.newConflict(mark)) {
      reject(
          mark, "conflicts with the configuration held, of the same version with another digest");
    }
  }

  private void reject(VersionMark mark, String reason) {
    effects.add(new DistributionEffect.Refused(mark, reason));
  }

  private void answer(Pull pull, long nowMillis) {
    if (!held.ready() || !held.mark().newerThan(pull.held())) {
      return;
    }
    Optional<List<List<Change>>> steps = history.since(pull.held().version());
    if (steps.isPresent()) {
      send(pull.sender(), new Delta(self, pull.held(), held.mark(), steps.get()));
    } else if (bodyBucket.tryAcquire(nowMillis)) {
      send(pull.sender(), new Body(self, held.mark(), held.newest()));
    }
  }

  private void receiveBody(Body body, long nowMillis) {
    observe(body.sender(), body.mark());
    if (holdBody(body.mark(), body.configuration(), true, nowMillis)) {
      acknowledge(body.sender());
    }
  }

  private void receiveDelta(Delta delta, long nowMillis) {
    observe(delta.sender(), delta.mark());
    if (delta.base().version().equals(held.mark().version())
        && applySteps(delta.mark(), delta.steps(), true, nowMillis)) {
      acknowledge(delta.sender());
    }
  }

  /** Notifies the source that this node holds the configuration too. */
  private void acknowledge(NodeId source) {
    send(source, new Announcement(self, held.mark()));
  }

  private boolean applySteps(
      VersionMark mark, List<List<Change>> steps, boolean heldElsewhere, long nowMillis) {
    ConfigurationVersion base = held.mark().version();
    Configuration result = held.newest();
    try {
      for (List<Change> step : steps) {
        result = ChangeApplier.apply(result, step);
      }
    } catch (ChangeException e) {
      reject(mark, "changes do not apply to version " + base + ": " + e.getMessage());
      acquisition.verificationFailed();
      return false;
    }
    if (!verifyAndHold(mark, result, heldElsewhere, nowMillis)) {
      return false;
    }
    history.add(base, mark.version(), steps);
    return true;
  }

  private boolean holdBody(
      VersionMark mark, Configuration configuration, boolean heldElsewhere, long nowMillis) {
    if (!verifyAndHold(mark, configuration, heldElsewhere, nowMillis)) {
      return false;
    }
    history.reset(mark.version());
    return true;
  }

  /**
   * Holds a configuration if it is newer than the one held and verifies; returns whether it did.
   */
  private boolean verifyAndHold(
      VersionMark mark, Configuration configuration, boolean heldElsewhere, long nowMillis) {
    if (!mark.newerThan(held.mark())) {
      detectConflict(mark);
      return false;
    }
    Optional<String> fault = verifier.fault(mark, configuration);
    if (fault.isPresent()) {
      reject(mark, fault.get());
      acquisition.verificationFailed();
      return false;
    }
    held.hold(mark, configuration, heldElsewhere, nowMillis);
    acquisition.raiseTarget(mark);
    acquisition.succeeded();
    if (held.ready()) {
      announce(Optional.empty());
    }
    return true;
  }
}
