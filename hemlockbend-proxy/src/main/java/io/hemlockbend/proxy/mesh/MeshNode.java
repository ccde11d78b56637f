package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.StoreReaders;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.http.HttpServerConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.OperatorOrders;
import io.hemlockbend.proxy.peer.Packing;
import io.hemlockbend.proxy.peer.PeerException;
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
 * A node: entry of its callers, gate of its upstream and peer of all other nodes. Whoever embeds it
 * feeds it with configurations, orders, nodes and the upstream's announcements.
 */
public final class MeshNode implements MeshOwner {
  private static final long CHECK_MILLIS = 200;

  private final EventLoop loop;
  private final MeshSettings settings;
  private final Function<byte[], TrafficConfiguration> decoder;
  private final DecisionSink sink;
  private final CrashWatch crashes;
  private final LocalUpstream upstream;
  private final PeerMesh mesh;
  private final ServiceVersions versions = new ServiceVersions();
  private final Entry entry;
  private final Set<HttpServerConnection> callers = new HashSet<>();
  private final MoveLeader moves;
  private final CatchUp catchUp;
  private TrafficConfiguration configuration;
  private byte[] document;
  private NodeMessage.Configuration packedDocument;
  private OperatorOrders orders = OperatorOrders.NONE;
  private boolean membersKnown;
  private boolean storeReachable;
  private boolean leaving;
  private boolean announcePlanned;

  /**
   * Makes a node.
   *
   * @param loop the event loop
   * @param settings what it needs to know
   * @param decoder makes a configuration of its document
   * @param durable keeps what must outlive the node
   * @param sink takes note of decisions
   */
  public MeshNode(
      EventLoop loop,
      MeshSettings settings,
      Function<byte[], TrafficConfiguration> decoder,
      DurableState durable,
      DecisionSink sink) {
    this.loop = loop;
    this.settings = settings;
    this.decoder = decoder;
    this.sink = sink;
    this.crashes = new CrashWatch(loop, this::spreadCrashes);
    this.upstream =
        new LocalUpstream(
            loop,
            settings.upstream(),
            settings.names(),
            settings.cold(),
            sink,
            crashes,
            this::announceSoon,
            durable::keepUpstream);
    this.mesh = new PeerMesh(loop, settings.self(), settings.intake(), this, sink);
    this.entry =
        new Entry(
            loop,
            settings.names(),
            settings.service(),
            mesh,
            upstream,
            versions,
            settings.entry(),
            sink);
    this.catchUp = new CatchUp(loop, mesh, this);
    this.moves = new MoveLeader(loop, mesh, this, versions, durable, sink);
  }

  /** Opens the listeners for callers and for other nodes. */
  public void listen() {
    loop.listen(settings.self().address(), mesh::accept);
    loop.listen(settings.callers(), this::acceptCaller);
    loop.every(CHECK_MILLIS, catchUp::check);
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

  /** Returns the configuration in force, or null. */
  public TrafficConfiguration configuration() {
    return configuration;
  }

  /** Returns the orders in force. */
  public OperatorOrders orders() {
    return orders;
  }

  /** Returns whether the node is to get callers' requests. */
  public boolean ready() {
    return configuration != null && membersKnown && !leaving;
  }

  /** Returns whether the node stops. */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Returns whether this node is to follow the store; if not, nodes of its failure domain that do
   * bring it the news.
   */
  public boolean followsStore() {
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

  /** Takes in that the other nodes were read from the store. */
  public void membersKnown() {
    membersKnown = true;
  }

  /** Takes in whether the store answers. */
  public void takeStoreReachable(boolean reachable) {
    if (storeReachable != reachable) {
      storeReachable = reachable;
      sink.decided(reachable ? "store-reached" : "store-lost", null);
    }
  }

  /**
   * Takes in what the upstream beside the node says of itself.
   *
   * @return whether it was taken in; a record of another service, of another address or older than
   *     the one known is not
   */
  public boolean takeAnnouncement(UpstreamRecord news) {
    return news.service().equals(settings.service()) && upstream.announced(news);
  }

  /**
   * Takes in a configuration from the store and tells the other nodes; one that is not newer than
   * the one in force is ignored.
   *
   * @param bytes the document, as the operator wrote it
   */
  public void takeConfiguration(byte[] bytes) {
    if (applyConfiguration(bytes)) {
      announceSoon();
    }
  }

  private boolean applyConfiguration(byte[] bytes) {
    TrafficConfiguration news;
    try {
      news = decoder.apply(bytes);
    } catch (RuntimeException e) {
      sink.decided("configuration-rejected", null, "why", String.valueOf(e.getMessage()));
      return false;
    }
    if (configuration != null && news.version() <= configuration.version()) {
      return false;
    }
    configuration = news;
    document = bytes;
    packedDocument = null;
    entry.configuration(news);
    TrafficService service = news.services().get(settings.service());
    if (service != null) {
      upstream.service(service);
    }
    sink.decided("configuration", null, "version", news.version(), "routes", news.routes().size());
    return true;
  }

  /**
   * Takes in the operator's orders from the store and tells the other nodes; older ones are
   * ignored.
   */
  public void takeOrders(OperatorOrders news) {
    if (applyOrders(news)) {
      announceSoon();
    }
  }

  private boolean applyOrders(OperatorOrders news) {
    if (news.version() <= orders.version()) {
      return false;
    }
    orders = news;
    versions.orders(news);
    entry.withdrawn(news.withdrawn());
    upstream.withdrawn(news.withdrawn().contains(settings.self().domain()));
    moves.orders(news);
    sink.decided(
        "orders",
        null,
        "version",
        news.version(),
        "withdrawn",
        news.withdrawn(),
        "moves",
        news.moves());
    return true;
  }

  /**
   * Stops: new callers are turned away, requests under way get their answers.
   *
   * @param stopped runs when nothing is under way any more or the grace is over
   */
  public void stop(Runnable stopped) {
    if (!leaving) {
      leaving = true;
      sink.decided("stopping", null, "open", entry.open());
      mesh.stop();
      announceSoon();
      new Departure(loop, this, callers, settings.graceMillis(), stopped).begin();
    }
  }

  @Override
  public NodeReport report() {
    return new NodeReport(
        settings.self().node(),
        configuration == null ? -1 : configuration.version(),
        orders.version(),
        leaving,
        storeReachable,
        upstream.state() == UpstreamState.UNKNOWN ? null : upstream.record(),
        load(),
        versions.moving() ? upstream.counts() : List.of(),
        versions.shares());
  }

  @Override
  public UpstreamLoad load() {
    return mesh.bodies().told(upstream.load());
  }

  @Override
  public void reported(Peer from, NodeReport report) {
    if (report.upstream() != null) {
      versions.seen(report.upstream().service(), report.upstream().version());
    }
    report.moves().forEach(versions::share);
    catchUp.reported(from, report);
  }

  @Override
  public void crashes(List<Suspicion> reports) {
    long nowMillis = loop.millis();
    crashes.merge(reports.stream().map(report -> report.shifted(nowMillis)).toList());
  }

  @Override
  public void discovered(NodeInfo node) {
    sink.decided("node-found", null, "peer", node.node(), "address", node.address());
  }

  @Override
  public void allNodesKnown() {
    membersKnown = true;
  }

  @Override
  public List<NodeMessage> documents(NodeMessage.Fetch fetch) {
    List<NodeMessage> all = new ArrayList<>();
    if (configurationVersion() > fetch.configurationVersion()) {
      if (packedDocument == null) {
        packedDocument =
            new NodeMessage.Configuration(configuration.version(), Packing.pack(document));
      }
      all.add(packedDocument);
    }
    if (orders.version() > fetch.ordersVersion()) {
      all.add(new NodeMessage.Orders(orders));
    }
    return all;
  }

  @Override
  public void document(NodeMessage received) {
    switch (received) {
      case NodeMessage.Configuration news -> takePacked(news);
      case NodeMessage.Orders news -> applyOrders(news.orders());
      default -> throw new IllegalArgumentException("no document: " + received);
    }
  }

  private void takePacked(NodeMessage.Configuration news) {
    byte[] bytes;
    try {
      bytes = Packing.unpack(news.packed());
    } catch (PeerException e) {
      sink.decided("configuration-rejected", null, "why", String.valueOf(e.getMessage()));
      return;
    }
    applyConfiguration(bytes);
  }

  /** Returns whether requests or answers are under way at this node. */
  boolean busy() {
    return entry.open() > 0
        || upstream.running() > 0
        || callers.stream().anyMatch(HttpServerConnection::busy);
  }

  /** Tells the other nodes soon what changed here; changes of one moment are told together. */
  void announceSoon() {
    if (!announcePlanned) {
      announcePlanned = true;
      loop.beforeWait(
          () -> {
            announcePlanned = false;
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
            endPoint, loop, this::limits, () -> leaving, entry::handle, callers::remove);
    callers.add(connection);
    return connection;
  }

  /** Nodes' clocks differ: reports travel with the time that is left to them. */
  private void spreadCrashes(List<Suspicion> reports) {
    long nowMillis = loop.millis();
    sink.decided("crash-suspects", null, "requests", reports.size(), "latest", reports.get(0));
    mesh.broadcast(
        new NodeMessage.Crashes(
            reports.stream().map(report -> report.shifted(-nowMillis)).toList()));
  }

  private CallerLimits limits() {
    return configuration == null ? CallerLimits.DEFAULT : configuration.limits();
  }

  /** Returns the version of the configuration in force; -1 without one. */
  long configurationVersion() {
    return configuration == null ? -1 : configuration.version();
  }
}
