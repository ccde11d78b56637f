package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.StoreReaders;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.core.transfer.BodyMemory;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.http.HttpServerConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.OperatorOrders;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import io.hemlockbend.proxy.upstream.CrashWatch;
import io.hemlockbend.proxy.upstream.LocalUpstream;
import io.hemlockbend.proxy.upstream.UpstreamState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.eclipse.jetty.io.EndPoint;

/**
 * A node: entry of its callers, admission of its upstream and peer of all other nodes. The
 * embedding program supplies configurations, orders, nodes and the upstream's announcements. Its
 * methods must be called on the event loop's thread.
 */
public final class MeshNode implements MeshOwner {
  private static final long CHECK_MILLIS = 200;

  private final EventLoop loop;
  private final MeshSettings settings;
  private final NodeDocuments documents;
  private final DecisionSink sink;
  private final DurableState durable;
  private final CrashWatch crashes;
  private final LocalUpstream upstream;
  private final PeerMesh mesh;
  private final ServiceVersions versions = new ServiceVersions();
  private final Entry entry;
  private final Set<HttpServerConnection> callers = new HashSet<>();
  private final BodyMemory bodies = BodyMemory.ofHeap(Runtime.getRuntime().maxMemory());
  private final MoveLeader moveLeader;
  private final CatchUp catchUp;
  private final RecordRepair repair;
  private boolean peersLoaded;
  private boolean storeReachable;
  private boolean leaving;
  private boolean announcementScheduled;

  /**
   * Creates a node.
   *
   * @param loop the event loop
   * @param settings the settings
   * @param decoder decodes a configuration document; throws if the document is invalid
   * @param durable persists state that must survive the node
   * @param sink logs decisions
   */
  public MeshNode(
      EventLoop loop,
      MeshSettings settings,
      Function<byte[], TrafficConfiguration> decoder,
      DurableState durable,
      DecisionSink sink) {
    this.loop = loop;
    this.settings = settings;
    this.documents = new NodeDocuments(decoder, sink);
    this.durable = durable;
    this.sink = sink;
    this.crashes = new CrashWatch(loop, this::broadcastCrashes);
    this.upstream =
        new LocalUpstream(
            loop,
            settings.upstream(),
            settings.names(),
            settings.cold(),
            sink,
            crashes,
            this::scheduleAnnouncement,
            durable::saveUpstream);
    this.mesh = new PeerMesh(loop, settings.self(), settings.intake(), this, sink);
    this.entry =
        new Entry(
            loop,
            settings.names(),
            settings.service(),
            mesh,
            upstream,
            versions,
            new RetryBudgets(
                loop, settings.retries(), () -> peersLoaded ? mesh.peers().size() + 1 : 0),
            sink);
    this.catchUp = new CatchUp(loop, mesh, this);
    this.moveLeader = new MoveLeader(loop, mesh, this, versions, durable, sink);
    this.repair = new RecordRepair(loop, this, versions, durable, moveLeader::isLeader, sink);
  }

  /** Starts listening for callers and for other nodes. */
  public void listen() {
    loop.listen(settings.self().address(), mesh::accept);
    loop.listen(settings.callers(), this::acceptCaller);
    loop.every(CHECK_MILLIS, this::check);
  }

  private void check() {
    catchUp.check();
    if (documents.expireCarried(loop.millis())) {
      putOrdersInForce();
      scheduleAnnouncement();
    }
  }

  @Override
  public LocalUpstream upstream() {
    return upstream;
  }

  /** Returns the entry of callers. */
  public Entry entry() {
    return entry;
  }

  /** Returns the links with other nodes. */
  public PeerMesh mesh() {
    return mesh;
  }

  /** Returns the current configuration, or null before the first one. */
  public TrafficConfiguration configuration() {
    return documents.configuration();
  }

  /** Returns the current orders. */
  public OperatorOrders orders() {
    return documents.orders();
  }

  /** Returns whether callers should send requests to this node. */
  public boolean ready() {
    return configuration() != null && peersLoaded && !leaving;
  }

  /** Returns whether the node is shutting down. */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Returns whether this node reads the store; if not, it gets changes from the nodes of its
   * failure domain that do.
   */
  public boolean readsStore() {
    List<NodeId> others = new ArrayList<>();
    for (Peer peer : mesh.peers()) {
      if (peer.info.domain().equals(settings.self().domain())
          && mesh.fresh(peer)
          && peer.report.storeReachable()
          && !peer.report.leaving()) {
        others.add(peer.info.node());
      }
    }
    return StoreReaders.readsStore(settings.self().node(), others);
  }

  /** Called once the other nodes have been read from the store. */
  public void markPeersLoaded() {
    peersLoaded = true;
  }

  /** Sets whether the store is reachable; logs a change. */
  public void updateStoreReachable(boolean reachable) {
    if (storeReachable != reachable) {
      storeReachable = reachable;
      sink.emit(reachable ? "store-reached" : "store-lost", null);
    }
  }

  /**
   * Handles an announcement of the upstream beside this node.
   *
   * @return whether it was accepted; a record of another service or address, or an older one than
   *     the current record, is not
   */
  public boolean handleAnnouncement(UpstreamRecord announced) {
    return announced.service().equals(settings.service()) && upstream.applyAnnouncement(announced);
  }

  /**
   * Applies a configuration from the store and announces it to the other nodes. A document that is
   * invalid or not newer than the current configuration is ignored.
   *
   * @param bytes the document, as the operator wrote it
   */
  public void updateConfiguration(byte[] bytes) {
    if (documents.apply(bytes, NodeDocuments.Source.STORE)) {
      putConfigurationInForce();
      scheduleAnnouncement();
    }
  }

  private void putConfigurationInForce() {
    TrafficConfiguration configuration = documents.configuration();
    entry.updateConfiguration(configuration);
    TrafficService service = configuration.services().get(settings.service());
    if (service != null) {
      upstream.configure(service);
    }
  }

  /**
   * Applies the operator's orders from the store and announces them to the other nodes. Orders that
   * are not newer than the current ones are ignored.
   */
  public void updateOrders(OperatorOrders updated) {
    if (documents.apply(updated, NodeDocuments.Source.STORE, loop.millis())) {
      putOrdersInForce();
      scheduleAnnouncement();
    }
  }

  private void putOrdersInForce() {
    OperatorOrders orders = documents.orders();
    boolean restoredLately = documents.restoredLately(loop.millis());
    versions.updateOrders(orders, restoredLately);
    entry.updateWithdrawn(orders.withdrawn());
    upstream.updateDomainWithdrawn(orders.withdrawn().contains(settings.self().domain()));
    moveLeader.updateOrders(orders, restoredLately);
    if (documents.pollRestored()) {
      repair.restored();
      upstream.saveAgainIfLeaving();
    }
  }

  /**
   * Starts the graceful shutdown: the node reports itself as not ready and completes the requests
   * in flight. Further calls have no effect.
   *
   * @param stopped runs once no request is in flight or the grace period has ended
   */
  public void stop(Runnable stopped) {
    if (!leaving) {
      leaving = true;
      sink.emit("stopping", null, "open", entry.open());
      mesh.stop();
      scheduleAnnouncement();
      new GracefulShutdown(loop, this, callers, settings.graceMillis(), stopped).begin();
    }
  }

  @Override
  public NodeReport report() {
    return new NodeReport(
        settings.self().node(),
        documents.configurationVersion(),
        documents.orders().version(),
        documents.carriedOrders(),
        leaving,
        storeReachable,
        upstream.state() == UpstreamState.UNKNOWN ? null : upstream.record(),
        load(),
        versions.anyMoveRunning() ? upstream.routeCounts() : List.of(),
        versions.shares());
  }

  @Override
  public UpstreamLoad load() {
    return mesh.bodies().withTransferLoad(upstream.load());
  }

  @Override
  public void reported(Peer from, NodeReport report) {
    if (report.upstream() != null) {
      versions.versionSeen(report.upstream().service(), report.upstream().version());
    }
    long era = report.ordersVersion().era();
    if (era > documents.orders().version().era()) {
      durable.restoreReported(era);
    }
    report.moves().forEach(versions::applyShare);
    catchUp.reported(from, report);
  }

  @Override
  public void crashesReported(List<Suspicion> reports) {
    long nowMillis = loop.millis();
    crashes.merge(reports.stream().map(report -> report.shifted(nowMillis)).toList());
  }

  @Override
  public void discovered(NodeInfo node) {
    sink.emit("node-found", null, "peer", node.node(), "address", node.address());
  }

  @Override
  public void allNodesKnown() {
    peersLoaded = true;
  }

  @Override
  public List<NodeMessage> documents(NodeMessage.Fetch fetch) {
    return documents.lackedBy(fetch, loop.millis());
  }

  @Override
  public void documentReceived(NodeMessage received) {
    switch (received) {
      case NodeMessage.Configuration message -> {
        if (documents.apply(message)) {
          putConfigurationInForce();
        }
      }
      case NodeMessage.Orders message -> {
        if (documents.apply(message, loop.millis())) {
          putOrdersInForce();
        }
      }
      default -> throw new IllegalArgumentException("not a document message: " + received);
    }
  }

  /** Returns whether requests or responses are in flight at this node. */
  boolean busy() {
    return entry.open() > 0
        || upstream.running() > 0
        || callers.stream().anyMatch(HttpServerConnection::busy);
  }

  /** Schedules one report to the other nodes for all changes until the event loop next waits. */
  void scheduleAnnouncement() {
    if (!announcementScheduled) {
      announcementScheduled = true;
      loop.beforeWait(
          () -> {
            announcementScheduled = false;
            mesh.announce();
          });
    }
  }

  boolean storeReachable() {
    return storeReachable;
  }

  private HttpServerConnection acceptCaller(EndPoint endPoint) {
    HttpServerConnection connection =
        new HttpServerConnection(
            endPoint, loop, this::limits, bodies, () -> leaving, entry::handle, callers::remove);
    callers.add(connection);
    return connection;
  }

  /** Sends crash reports to all nodes, with remaining instead of absolute times: clocks differ. */
  private void broadcastCrashes(List<Suspicion> reports) {
    long nowMillis = loop.millis();
    sink.emit("crash-suspects", null, "requests", reports.size(), "latest", reports.get(0));
    mesh.broadcast(
        new NodeMessage.CrashReports(
            reports.stream().map(report -> report.shifted(-nowMillis)).toList()));
  }

  private CallerLimits limits() {
    return configuration() == null ? CallerLimits.DEFAULT : configuration().limits();
  }

  /** Returns the configuration and orders in force. */
  NodeDocuments inForce() {
    return documents;
  }
}
