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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Drives the control state. Every message, timer, announcement and platform answer is a task of a
 * single thread. Traffic threads read only an immutable routing table and an admission gate.
 */
public final class ControlLoop implements MeshAccess, AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(ControlLoop.class);
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long REBUILD_INTERVAL_MILLIS = 500;
  private static final long SNAPSHOT_INTERVAL_MILLIS = 100;
  private static final long MEMBERS_INTERVAL_MILLIS = 150;

  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("control").factory());
  private final ControlState state;
  private final PeerConnections peers;
  private final PublishedTable published;
  private final AdmissionService admission;
  private final ApplyListener applyListener;
  private final Clock clock;
  private final PlatformReads reads;
  private final List<ControlTask> tasks = new ArrayList<>();
  private final LaggingPings laggingPings;
  private long handledChanges = -1;
  private long membersHandledMillis;
  private long builtMillis;
  private boolean tableStale = true;
  private long snapshotMillis;
  private volatile MeshSnapshot snapshot = MeshSnapshot.NONE;

  /**
   * Creates the loop; {@link #start} runs it.
   *
   * @param components the components that the loop drives
   * @param clock the time source
   */
  public ControlLoop(ControlComponents components, Clock clock) {
    this.state = components.state();
    this.peers = components.peers();
    this.published = components.published();
    this.admission = components.admission();
    this.applyListener = components.applyListener();
    this.clock = clock;
    this.laggingPings = new LaggingPings(state.membership);
    this.reads =
        new PlatformReads(components, () -> snapshot.accepted(), thread, clock, this::carryOut);
  }

  /** Adds a task; allowed only before the loop starts. */
  public void add(ControlTask task) {
    tasks.add(task);
  }

  /**
   * Starts the loop and joins the mesh.
   *
   * @param seeds control addresses of the seed nodes
   */
  public void start(List<NodeAddress> seeds) {
    execute(() -> send(state.membership.join(seeds, clock.millis())));
    thread.scheduleWithFixedDelay(
        () -> guarded(this::tick),
        TICK_INTERVAL_MILLIS,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the latest snapshot of the mesh; callable from any thread. */
  public MeshSnapshot snapshot() {
    return snapshot;
  }

  /** Returns the control thread, for tasks that touch the control state. */
  public Executor executor() {
    return this::execute;
  }

  /** Handles a message of another node. */
  public void receive(PeerMessage message) {
    execute(() -> received(message));
  }

  /** Handles an announcement of the upstream beside this node. */
  public void announced(AnnouncementBody body) {
    execute(() -> upstreamAnnounced(body));
  }

  /**
   * Marks the upstream as down because a connection to it could not be opened.
   *
   * @return completes once the reports of the requests in flight were sent
   */
  public CompletableFuture<Void> upstreamUnreachable() {
    Runnable markUnreachable =
        () -> {
          if (state.upstream.markUnreachable()) {
            upstreamDown();
          }
        };
    // The reports are sent by a task of their own, queued before the second stage.
    return CompletableFuture.runAsync(markUnreachable, this::execute)
        .thenRunAsync(() -> {}, this::execute);
  }

  /** Gossips the reports of requests in flight at a crash at once, as callers may resend them. */
  public void suspected(List<Suspicion> reports) {
    execute(
        () -> {
          reports.forEach(state.membership::spread);
          send(state.membership.gossipNow(clock.millis()));
        });
  }

  /** Applies a configuration whose commit was accepted through this node, and announces it. */
  public void accepted(VersionMark mark, Configuration configuration, List<Change> changes) {
    execute(
        () -> {
          long now = clock.millis();
          laggingPings.accepted(now);
          carryOut(state.distributor.accepted(mark, configuration, changes, now));
        });
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
  public boolean mayAct() {
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
    tableStale = true;
  }

  /** Announces that the upstream accepts no new requests, since its node leaves. */
  public void drain() {
    execute(
        () -> {
          if (state.upstream.drain()) {
            upstreamChanged();
          }
        });
  }

  /** Announces to the mesh that this node leaves. */
  public void leave() {
    execute(() -> send(state.membership.leave(clock.millis())));
  }

  private void execute(Runnable task) {
    try {
      thread.execute(() -> guarded(task));
    } catch (RejectedExecutionException e) {
      LOGGER.debug("control loop has stopped; dropping a task");
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
      admission.renewPauseFence();
    }
    mergeReports(now);
    membersChanged(now);
    state.distributor.recorded(state.membership.recordedApplied());
    carryOut(state.distributor.tick(now));
    send(laggingPings.due(state.distributor.mark().version(), now));
    if (state.upstream.expire(now)) {
      upstreamDown();
    }
    state.quarantine.expire(now);
    tasks.forEach(task -> task.tick(now));
    refresh(now);
    admission.expire();
    updateSnapshot(now);
  }

  private void updateSnapshot(long now) {
    if (now - snapshotMillis < SNAPSHOT_INTERVAL_MILLIS) {
      return;
    }
    snapshotMillis = now;
    snapshot = new MeshSnapshot(state.distributor.mark(), configuration(), List.copyOf(members()));
  }

  private void received(PeerMessage message) {
    long now = clock.millis();
    Optional<Member> from = state.membership.find(message.sender());
    from.ifPresent(sender -> peers.messageReceived(sender.control(), message));
    send(state.membership.receive(message, now));
    mergeReports(now);
    carryOut(state.distributor.receive(message, now));
    tasks.forEach(task -> task.received(message, now));
    refresh(now);
  }

  private void mergeReports(long now) {
    List<Brake> brakes = state.membership.receivedBrakes();
    if (!brakes.isEmpty()) {
      state.brakes = state.brakes.withAll(brakes);
      tableStale = true;
    }
    state
        .quarantine
        .merge(state.membership.receivedSuspicions(), now)
        .forEach(state.membership::spread);
  }

  /** Handles membership changes in batches, since many nodes may join at the same time. */
  private void membersChanged(long now) {
    if (state.membership.changes() == handledChanges
        || now - membersHandledMillis < MEMBERS_INTERVAL_MILLIS) {
      return;
    }
    membersHandledMillis = now;
    handledChanges = state.membership.changes();
    state.distributor.members(state.membership.members(), now);
    tableStale = true;
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
            applyListener.refused(refused.mark(), refused.reason());
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
    applyListener.applied(apply.mark());
    tasks.forEach(task -> task.applied(apply.configuration(), clock.millis()));
    tableStale = true;
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
    Endpoint endpoint = state.upstream.endpoint().orElse(null);
    state
        .upstream
        .address()
        .ifPresent(address -> admission.announced(endpoint, address, gate(clock.millis())));
    membersChanged(clock.millis());
    refresh(clock.millis());
  }

  private void refresh(long now) {
    if (!mayAct()) {
      published.fence();
      state.upstream.endpoint().ifPresent(endpoint -> admission.gate(gate(now)));
      tableStale = true;
      return;
    }
    boolean restoring =
        configuration().domains().values().stream()
            .anyMatch(DomainState.Restoring.class::isInstance);
    if (!tableStale && !(restoring && now - builtMillis >= REBUILD_INTERVAL_MILLIS)) {
      return;
    }
    tableStale = false;
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
        mayAct() ? endpoint.state() : EndpointState.DOWN,
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
