package io.hemlockbend.node;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.acceptance.CommitPlanner;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.claim.ClaimLedger;
import io.hemlockbend.core.claim.ClaimSettings;
import io.hemlockbend.core.drain.DrainState;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.evidence.EvidenceCounter;
import io.hemlockbend.core.lease.LeaseKeeper;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.node.admin.AdministrationHandler;
import io.hemlockbend.node.admin.AdministrationService;
import io.hemlockbend.node.admin.TokenAuthenticator;
import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.node.admission.MeshHandler;
import io.hemlockbend.node.admission.Quarantine;
import io.hemlockbend.node.admission.TableClaimRunner;
import io.hemlockbend.node.commit.CommitRunner;
import io.hemlockbend.node.control.ApplyLog;
import io.hemlockbend.node.control.ControlComponents;
import io.hemlockbend.node.control.ControlLoop;
import io.hemlockbend.node.control.ControlState;
import io.hemlockbend.node.control.ControlStates;
import io.hemlockbend.node.control.MeshSnapshot;
import io.hemlockbend.node.control.PublishedTable;
import io.hemlockbend.node.entry.EntryHandler;
import io.hemlockbend.node.entry.EntryService;
import io.hemlockbend.node.entry.UpstreamStatsCleanup;
import io.hemlockbend.node.forward.Forwarder;
import io.hemlockbend.node.local.AnnounceHandler;
import io.hemlockbend.node.log.DecisionListener;
import io.hemlockbend.node.log.DecisionLog;
import io.hemlockbend.node.log.RecentDecisions;
import io.hemlockbend.node.metrics.DecisionMeters;
import io.hemlockbend.node.metrics.MetricsHandler;
import io.hemlockbend.node.metrics.NodeMeters;
import io.hemlockbend.node.rollout.ClaimCleanupDriver;
import io.hemlockbend.node.rollout.EvidenceInbox;
import io.hemlockbend.node.rollout.LeasedCommitter;
import io.hemlockbend.node.rollout.RolloutTask;
import io.hemlockbend.node.settings.NodeSettings;
import io.hemlockbend.platform.HttpObjectStore;
import io.hemlockbend.platform.HttpTableService;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.PlatformSettings;
import io.hemlockbend.platform.TableService;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * A running node: the listeners, the control loop and the connections of one process.
 *
 * <p>Example: {@code try (Node node = Node.start(settings)) { ... }}.
 */
public final class Node implements AutoCloseable {
  private static final Logger LOGGER = LogManager.getLogger(Node.class);
  private static final double SLOW_CALL_MILLIS = 250;
  private static final long ADMIN_BODY_TIMEOUT_MILLIS = 5_000;
  private static final long DRAIN_NOTICE_MILLIS = 1_500;
  private static final long MESH_IDLE_MILLIS = 500;
  private static final long DRAIN_POLL_MILLIS = 20;
  private static final int MAX_NODE_ID_CHARACTERS = 50;

  private final NodeSettings settings;
  private final Clock clock = new SystemClock();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final RecentDecisions recent = new RecentDecisions();
  private final DecisionListener decisions;
  private final Server server;
  private final ServerConnector callers;
  private final ServerConnector mesh;
  private final ServerConnector admin;
  private final HttpClient client;
  private final PeerTransport peers;
  private final TableService table;
  private final ObjectStore store;
  private final TableClaimRunner claims;
  private final PublishedTable published;
  private final AdmissionService admission;
  private final ControlLoop control;
  private final CommitRunner commits;
  private final ListenerHandler handler;

  private Node(NodeSettings settings) {
    this.settings = settings;
    decisions = decisions();
    server = HttpFactory.server(settings);
    callers = listener("callers", settings.callerPort());
    mesh = listener("mesh", settings.meshPort());
    admin = listener("administration", settings.adminPort());
    client = HttpFactory.client(server.getThreadPool());
    peers = new PeerTransport(settings);
    PlatformSettings platform =
        new PlatformSettings(settings.platformUri(), settings.platformTimeoutMillis());
    table = new HttpTableService(client, platform);
    store = new HttpObjectStore(client, platform);
    Quarantine quarantine = new Quarantine();
    published = new PublishedTable(quarantine, clock);
    EvidenceInbox inbox = new EvidenceInbox(evidenceCounter());
    RunEventForwarder events = new RunEventForwarder(inbox);
    Forwarder forwarder = new Forwarder(client, settings.bufferBytes());
    claims = new TableClaimRunner(claimLedger(), table, clock);
    admission = new AdmissionService(forwarder, claims, quarantine, events, decisions, clock);
    control = control(quarantine);
    events.bind(control);
    peers.binding().bind(control);
    commits =
        new CommitRunner(
            planner(), table, store, control::accepted, () -> control.snapshot().accepted());
    control.add(rollout(inbox));
    NodeMeters.register(registry, peers.counters(), control, admission);
    handler = handler(forwarder);
    server.setHandler(handler);
  }

  /**
   * Starts a node.
   *
   * @param settings its settings
   * @throws NodeException if it cannot start; nothing is left running
   */
  public static Node start(NodeSettings settings) {
    Node node = new Node(settings);
    try {
      node.client.start();
      node.server.start();
    } catch (Exception e) {
      node.stopAll();
      throw new NodeException("cannot start node " + settings.nodeId(), e);
    }
    node.control.start(settings.seeds());
    LOGGER.info(
        "node {} listens: callers {}, mesh {}, control {}, administration {}",
        settings.nodeId(),
        node.callerPort(),
        node.mesh.getLocalPort(),
        node.controlPort(),
        node.adminPort());
    return node;
  }

  /** Returns the port that callers use. */
  public int callerPort() {
    return callers.getLocalPort();
  }

  /** Returns the port for control messages. */
  public int controlPort() {
    return peers.port();
  }

  /** Returns the port of the administration API, metrics, health and announcements. */
  public int adminPort() {
    return admin.getLocalPort();
  }

  /** Returns the node's current view of the mesh. */
  public MeshSnapshot snapshot() {
    return control.snapshot();
  }

  /** Returns whether the node has a routing table and may serve. */
  public boolean ready() {
    return published.table().isPresent();
  }

  private ServerConnector listener(String name, int port) {
    return HttpFactory.listener(server, name, settings.host(), port);
  }

  private DecisionListener decisions() {
    DecisionLog log = new DecisionLog(settings.nodeId().value());
    DecisionMeters meters = new DecisionMeters(registry);
    return decision -> {
      log.decided(decision);
      recent.decided(decision);
      meters.decided(decision);
    };
  }

  private EvidenceCounter evidenceCounter() {
    return new EvidenceCounter(
        settings.nodeId(), settings.failureDomain(), SLOW_CALL_MILLIS, clock.millis());
  }

  /**
   * Creates the claim ledger. Its owner name in claim rows includes the start time, so that no two
   * starts of the node share one.
   */
  private ClaimLedger claimLedger() {
    String start = Long.toString(clock.millis(), Character.MAX_RADIX);
    String node = settings.nodeId().value();
    String name = node.substring(0, Math.min(node.length(), MAX_NODE_ID_CHARACTERS));
    return new ClaimLedger(ClaimSettings.DEFAULT, new NodeId(name + ":" + start));
  }

  private Member self() {
    return new Member(
        settings.nodeId(),
        settings.region(),
        settings.failureDomain(),
        new NodeAddress(settings.host(), peers.port()),
        new NodeAddress(settings.host(), mesh.getLocalPort()),
        clock.millis(),
        MemberStatus.ALIVE,
        ConfigurationVersion.NONE,
        Optional.empty());
  }

  private ControlLoop control(Quarantine quarantine) {
    ControlState state =
        ControlStates.create(
            self(),
            quarantine,
            new JsonDigester(new JsonCodec()),
            settings.announcementMillis(),
            seed());
    ControlComponents components =
        new ControlComponents(
            state,
            peers.connections(),
            published,
            admission,
            table,
            store,
            new ApplyLog(decisions, clock));
    return new ControlLoop(components, clock);
  }

  private static CommitPlanner planner() {
    return new CommitPlanner(
        ConfigurationChecker.forAcceptance(), new JsonDigester(new JsonCodec()));
  }

  private long seed() {
    return settings.nodeId().value().hashCode() ^ System.nanoTime();
  }

  private RolloutTask rollout(EvidenceInbox inbox) {
    return new RolloutTask(
        settings.nodeId(),
        control,
        inbox,
        new LeasedCommitter(settings.nodeId(), commits, clock),
        decisions,
        control.executor(),
        new LeaseKeeper(settings.nodeId(), new SplittableRandom(seed())),
        ClaimCleanupDriver.cleanup(new SplittableRandom(seed())),
        table,
        clock);
  }

  private ListenerHandler handler(Forwarder forwarder) {
    EntryService entry =
        new EntryService(
            settings.nodeId(),
            published,
            admission,
            forwarder,
            decisions,
            clock,
            settings.attemptTimeoutMillis());
    control.add(new UpstreamStatsCleanup(entry, control));
    Map<Connector, Handler> handlers =
        Map.of(
            callers,
            new EntryHandler(entry, clock, settings.requestTimeoutMillis(), settings.bufferBytes()),
            mesh,
            new MeshHandler(admission, clock, settings.bufferBytes()),
            admin,
            new Handler.Sequence(
                new AnnounceHandler(new JsonCodec(), control::announced),
                administration(),
                new MetricsHandler(registry, this::ready)));
    return new ListenerHandler(handlers, new DrainTracker(0, settings.drainMillis()), mesh, clock);
  }

  private AdministrationHandler administration() {
    AdministrationService service =
        new AdministrationService(table, commits::run, new NodeMeshView(control, recent), clock);
    return new AdministrationHandler(
        service,
        TokenAuthenticator.of(settings.tokens()),
        table,
        settings.nodeId(),
        clock,
        new JsonCodec(),
        ADMIN_BODY_TIMEOUT_MILLIS);
  }

  /**
   * Shuts down gracefully. The node first announces the drain, leaves the mesh and refuses requests
   * of other nodes as not run until none has arrived for {@link #MESH_IDLE_MILLIS}; then it waits
   * for the requests in flight. Each phase is limited by {@link NodeSettings#drainMillis()}.
   */
  @Override
  public void close() {
    long endMillis = clock.millis() + settings.drainMillis();
    control.drain();
    pause(DRAIN_NOTICE_MILLIS);
    control.leave();
    while (!meshIdle() && clock.millis() < endMillis) {
      pause(DRAIN_POLL_MILLIS);
    }
    handler.drain(clock.millis());
    callers.shutdown();
    DrainState state = handler.drainState(clock.millis());
    while (!(state instanceof DrainState.Done)) {
      pause(DRAIN_POLL_MILLIS);
      state = handler.drainState(clock.millis());
    }
    LOGGER.info("node {} stopping: {}", settings.nodeId(), state);
    stopAll();
  }

  private boolean meshIdle() {
    return clock.millis() - handler.lastMeshRequestMillis() >= MESH_IDLE_MILLIS;
  }

  private void stopAll() {
    control.close();
    claims.close();
    stop(server);
    stop(client);
    peers.close();
  }

  private static void stop(LifeCycle component) {
    try {
      component.stop();
    } catch (Exception e) {
      LOGGER.warn("component failed to stop", e);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
