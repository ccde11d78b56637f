package io.hemlockbend.node.control;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.routing.RoutingInput;
import io.hemlockbend.core.routing.RoutingTable;
import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.node.rollout.MeshAccess;
import io.hemlockbend.wire.PeerConnections;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Drives the control state. Every message, timer, announcement and platform answer is a task of its
 * one thread; what traffic threads need leaves it as an immutable routing table and an admission
 * gate.
 */
public final class ControlLoop implements MeshAccess, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ControlLoop.class);
  private static final long TICK_MILLIS = 50;
  private static final long REBUILD_MILLIS = 500;
  private static final long VIEW_MILLIS = 100;
  private static final long MEMBERS_MILLIS = 150;
  private static final long SURVEY_MILLIS = 30_000;
  private static final long SURVEY_INTERVAL_MILLIS = 200;
  private static final int SURVEY_MEMBERS = 64;

  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("control").factory());
  private final ControlState state;
  private final PeerConnections peers;
  private final PublishedTable published;
  private final AdmissionService admission;
  private final ApplyListener applied;
  private final Clock clock;
  private final PlatformReads reads;
  private final List<ControlTask> tasks = new ArrayList<>();
  private long knownChanges = -1;
  private long membersMillis;
  private long builtMillis;
  private long surveyUntilMillis;
  private long surveyedMillis;
  private boolean stale = true;
  private long viewMillis;
  private volatile MeshSnapshot view = MeshSnapshot.NONE;

  /**
   * Makes the loop; {@link #start} runs it.
   *
   * @param parts what it drives
   * @param clock tells the time
   */
  public ControlLoop(ControlParts parts, Clock clock) {
    this.state = parts.state();
    this.peers = parts.peers();
    this.published = parts.published();
    this.admission = parts.admission();
    this.applied = parts.applied();
    this.clock = clock;
    this.reads =
        new PlatformReads(parts.table(), parts.store(), state, thread, clock, this::carryOut);
  }

  /** Adds work; only before the loop starts. */
  public void add(ControlTask task) {
    tasks.add(task);
  }

  /**
   * Starts the loop and joins the mesh.
   *
   * @param seeds control addresses of some nodes
   */
  public void start(List<NodeAddress> seeds) {
    execute(() -> send(state.membership.join(seeds, clock.millis())));
    thread.scheduleWithFixedDelay(
        () -> guarded(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns what the node knew of the mesh a moment ago; for any thread. */
  public MeshSnapshot snapshot() {
    return view;
  }

  /** Returns the control thread, for tasks that touch the control state. */
  public Executor executor() {
    return this::execute;
  }

  /** Takes in a message of another node. */
  public void receive(PeerMessage message) {
    execute(() -> received(message));
  }

  /** Takes in an announcement of the upstream beside this node. */
  public void announced(AnnouncementBody body) {
    execute(() -> upstreamAnnounced(body));
  }

  /** Notes that the upstream takes no connections. */
  public void upstreamUnreachable() {
    execute(
        () -> {
          if (state.upstream.unreachable()) {
            upstreamDown();
          }
        });
  }

  /** Spreads reports of requests that were in flight at a crash. */
  public void suspected(List<Suspicion> reports) {
    execute(() -> reports.forEach(state.membership::spread));
  }

  /** Puts a configuration in force that was accepted through this node, and announces it. */
  public void accepted(VersionMark mark, Configuration configuration, List<Change> changes) {
    execute(
        () -> carryOut(state.distributor.accepted(mark, configuration, changes, clock.millis())));
  }

  @Override
  public Collection<Member> members() {
    return state.membership.members();
  }

  @Override
  public Configuration configuration() {
    return state.distributor.configuration();
  }

  @Override
  public BrakeSet brakes() {
    return state.brakes;
  }

  @Override
  public boolean current() {
    return state.distributor.ready() && !state.membership.fenced();
  }

  @Override
  public void send(Outbound outbound) {
    peers.send(outbound);
  }

  private void send(List<Outbound> outbound) {
    outbound.forEach(peers::send);
  }

  @Override
  public void brake(List<Brake> found) {
    if (found.isEmpty()) {
      return;
    }
    state.brakes = state.brakes.withAll(found);
    found.forEach(state.membership::spread);
    stale = true;
  }

  /** Announces that the upstream takes no new work, since its node leaves. */
  public void drain() {
    execute(
        () -> {
          if (state.upstream.draining()) {
            upstreamChanged();
          }
        });
  }

  /** Tells the mesh that this node leaves. */
  public void leave() {
    execute(() -> send(state.membership.leave(clock.millis())));
  }

  private void execute(Runnable task) {
    try {
      thread.execute(() -> guarded(task));
    } catch (RejectedExecutionException e) {
      LOGGER.debug("the control loop has stopped; a task is dropped");
    }
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.error("control task failed", e);
    }
  }

  private void tick() {
    long now = clock.millis();
    send(state.membership.tick(now));
    if (!state.membership.fenced()) {
      admission.vouch();
    }
    hearReports(now);
    membersChanged(now);
    state.distributor.recorded(state.membership.recordedApplied());
    carryOut(state.distributor.tick(now));
    survey(now);
    if (state.upstream.expired(now)) {
      upstreamDown();
    }
    state.quarantine.expire(now);
    tasks.forEach(task -> task.tick(now));
    refresh(now);
    admission.expire();
    publishView(now);
  }

  /** Asks members where a version is that was accepted here, so that its operator sees it. */
  private void survey(long now) {
    if (now < surveyUntilMillis && now - surveyedMillis >= SURVEY_INTERVAL_MILLIS) {
      surveyedMillis = now;
      send(state.membership.pingLagging(state.distributor.mark().version(), SURVEY_MEMBERS, now));
    }
  }

  private void publishView(long now) {
    if (now - viewMillis < VIEW_MILLIS) {
      return;
    }
    viewMillis = now;
    view = new MeshSnapshot(state.distributor.mark(), configuration(), List.copyOf(members()));
  }

  private void received(PeerMessage message) {
    long now = clock.millis();
    state
        .membership
        .find(message.sender())
        .ifPresent(sender -> peers.heardFrom(sender.control(), message));
    send(state.membership.receive(message, now));
    hearReports(now);
    carryOut(state.distributor.receive(message, now));
    tasks.forEach(task -> task.received(message, now));
    refresh(now);
  }

  private void hearReports(long now) {
    List<Brake> brakes = state.membership.receivedBrakes();
    if (!brakes.isEmpty()) {
      state.brakes = state.brakes.withAll(brakes);
      stale = true;
    }
    state
        .quarantine
        .merge(state.membership.receivedSuspicions(), now)
        .forEach(state.membership::spread);
  }

  /** Takes in changed members, but not for each message of a herd that joins. */
  private void membersChanged(long now) {
    if (state.membership.changes() == knownChanges || now - membersMillis < MEMBERS_MILLIS) {
      return;
    }
    membersMillis = now;
    knownChanges = state.membership.changes();
    state.distributor.members(state.membership.members(), now);
    stale = true;
  }

  private void carryOut(List<DistributionEffect> effects) {
    for (DistributionEffect effect : effects) {
      switch (effect) {
        case DistributionEffect.Send send -> peers.send(send.outbound());
        case DistributionEffect.ReadCurrent read -> reads.readCurrent();
        case DistributionEffect.ReadHistory range -> reads.readHistory(range);
        case DistributionEffect.FetchBody fetch -> reads.fetchBody(fetch);
        case DistributionEffect.Apply apply -> apply(apply);
        case DistributionEffect.Refused refused ->
            applied.refused(refused.mark(), refused.reason());
      }
    }
    refresh(clock.millis());
  }

  private void apply(DistributionEffect.Apply apply) {
    state.membership.applied(apply.mark());
    state.brakes =
        state
            .brakes
            .afterConfiguration(apply.configuration())
            .retain(apply.configuration().versions()::containsKey);
    state.membership.retainBrakes(brake -> state.brakes.blocks(brake.key()));
    applied.applied(apply.mark());
    tasks.forEach(task -> task.applied(apply.configuration(), clock.millis()));
    stale = true;
  }

  private void upstreamAnnounced(AnnouncementBody body) {
    if (state.upstream.announced(body, clock.millis())) {
      admission.crashed();
    }
    upstreamChanged();
  }

  private void upstreamDown() {
    admission.crashed();
    upstreamChanged();
  }

  private void upstreamChanged() {
    state.membership.endpoint(state.upstream.endpoint());
    state
        .upstream
        .address()
        .ifPresent(
            address ->
                admission.announced(
                    state.upstream.endpoint().orElseThrow(), address, gate(clock.millis())));
    membersChanged(clock.millis());
    refresh(clock.millis());
  }

  private void refresh(long now) {
    if (!current()) {
      published.fence();
      state.upstream.endpoint().ifPresent(endpoint -> admission.gate(gate(now)));
      stale = true;
      return;
    }
    boolean restoring =
        state.distributor.configuration().domains().values().stream()
            .anyMatch(DomainState.Restoring.class::isInstance);
    if (!stale && !(restoring && now - builtMillis >= REBUILD_MILLIS)) {
      return;
    }
    stale = false;
    builtMillis = now;
    published.publish(RoutingTable.build(input(now)));
    state.upstream.endpoint().ifPresent(endpoint -> admission.gate(gate(now)));
  }

  private RoutingInput input(long now) {
    return new RoutingInput(
        state.distributor.configuration(),
        List.copyOf(state.membership.members()),
        state.brakes.byVersion().keySet(),
        state.membership.self().domain(),
        now);
  }

  private AdmissionGate gate(long now) {
    Endpoint endpoint = state.upstream.endpoint().orElseThrow();
    Configuration configuration = state.distributor.configuration();
    Member self = state.membership.self();
    return AdmissionGates.of(
        current() ? endpoint.state() : EndpointState.DOWN,
        endpoint.key(),
        configuration.domains().get(self.domain()),
        !configuration.usable(endpoint.key()) || state.brakes.blocks(endpoint.key()),
        now);
  }

  @Override
  public void close() {
    thread.shutdown();
    try {
      if (!thread.awaitTermination(1, TimeUnit.SECONDS)) {
        thread.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
