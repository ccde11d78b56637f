package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * The links with all other nodes. Each node dials every other one: its requests and pings go over
 * the link that it dialed, and the responses and reports of the other side come back on it. A link
 * whose pings are not answered is not used, and is redialed if that persists. The two nodes of a
 * pair ping alternately, because a ping also carries its sender's report.
 */
public final class PeerMesh {
  private static final long TICK_MILLIS = 100;
  private static final long REDIAL_MILLIS = 300;
  private static final long MAX_REDIAL_MILLIS = 2_000;
  private static final long DIAL_TIMEOUT_MILLIS = 1_500;
  private static final long FETCH_INTERVAL_MILLIS = 400;
  private static final byte[] NO_BODY = new byte[0];

  private final EventLoop loop;
  private final NodeInfo self;
  private final MeshOwner owner;
  private final DecisionSink sink;
  private final Map<NodeId, Peer> peers = new TreeMap<>();
  private final Set<PeerConnection> acceptedLinks = new HashSet<>();
  private final NodeDiscovery discovery = new NodeDiscovery();
  private final PingSchedule schedule = new PingSchedule(peers.values());
  private final BodyTransfers bodies;
  private final SilentNodes silentNodes;
  private long nextStream = 1;
  private long lastFetchMillis;
  private long pings;
  private boolean stopped;

  /** Creates a mesh without links; {@link #addOrUpdate} dials one to each new node. */
  PeerMesh(
      EventLoop loop, NodeInfo self, IntakeSettings intake, MeshOwner owner, DecisionSink sink) {
    this.loop = loop;
    this.self = self;
    this.owner = owner;
    this.sink = sink;
    this.bodies = new BodyTransfers(loop, intake, owner, sink);
    this.silentNodes = new SilentNodes(peers, schedule, this::ping, sink);
    loop.every(TICK_MILLIS, this::tick);
  }

  /** Creates the connection for a node that dialed this one. */
  public Connection accept(EndPoint endPoint) {
    return new PeerConnection(endPoint, loop, new AcceptedLink(this, owner, acceptedLinks));
  }

  /** Adds a node, or replaces its information if its process was started later. */
  public void addOrUpdate(NodeInfo info) {
    if (info.node().equals(self.node()) || stopped) {
      return;
    }
    Peer peer = peers.get(info.node());
    if (peer == null) {
      peer = new Peer(info, info.domain().equals(self.domain()));
      peers.put(info.node(), peer);
      owner.discovered(info);
      dial(peer);
    } else if (info.startedMillis() > peer.info.startedMillis()) {
      boolean moved = !info.address().equals(peer.info.address());
      peer.info = info;
      peer.failedDials = 0;
      if (moved && peer.link != null) {
        peer.link.end(null);
      }
      if (peer.link == null) {
        dial(peer);
      }
    }
  }

  /** Handles the number of nodes that another node knows, itself included. */
  void nodeCountReported(int nodes) {
    if (discovery.countReported(nodes, peers.size() + 1)) {
      owner.allNodesKnown();
    }
  }

  private void requestNodeList(long nowMillis) {
    if (!discovery.requestDue(peers.size() + 1, nowMillis)) {
      return;
    }
    for (Peer peer : peers.values()) {
      if (alive(peer)) {
        discovery.listRequested(nowMillis);
        peer.link.send(new NodeMessage.NodesRequest());
        return;
      }
    }
  }

  /** Returns all other known nodes, ordered by name. */
  Collection<Peer> peers() {
    return peers.values();
  }

  /** Returns all known nodes, this one first. */
  public List<NodeInfo> knownNodes() {
    List<NodeInfo> all = new ArrayList<>();
    all.add(self);
    peers.values().forEach(peer -> all.add(peer.info));
    return all;
  }

  /** Returns this node. */
  public NodeInfo self() {
    return self;
  }

  /** Returns whether a node's reports are recent and it answers pings on the link to it. */
  boolean alive(Peer peer) {
    return alive(peer, loop.millis());
  }

  /** As {@link #alive(Peer)}, for callers that check many nodes against one time. */
  boolean alive(Peer peer, long nowMillis) {
    return schedule.alive(peer, nowMillis);
  }

  /** Returns whether a node is known and alive. */
  public boolean alive(NodeId node) {
    Peer peer = peers.get(node);
    return peer != null && alive(peer);
  }

  /**
   * Returns whether a node is connected and its last report is not overdue; detects missing reports
   * sooner than {@link #alive(Peer)}.
   */
  boolean fresh(Peer peer) {
    return schedule.fresh(peer, loop.millis());
  }

  /** Returns the number of other nodes that are alive. */
  public int aliveCount() {
    return (int) peers.values().stream().filter(this::alive).count();
  }

  /** Sends a request to a peer; returns the action that cancels it. */
  Runnable run(Peer peer, RunRequest request, Consumer<RunEnd> listener) {
    if (peer.link == null) {
      listener.accept(new RunEnd.NotRun("no link"));
      return () -> {};
    }
    long stream = nextStream++;
    PeerConnection link = peer.link;
    byte[] body = request.http().body();
    boolean offered = body.length >= SentRun.OFFERED_BYTES;
    peer.runStarted(stream, new SentRun(listener, request.idempotent(), offered ? body : NO_BODY));
    link.send(
        offered
            ? new NodeMessage.Run(stream, request.withBody(NO_BODY), body.length)
            : new NodeMessage.Run(stream, request, 0));
    if (schedule.dueWithRequest(peer, loop.millis())) {
      ping(peer, loop.millis());
    }
    return () -> {
      if (peer.removeRun(stream) != null) {
        link.send(new NodeMessage.Cancel(stream));
      }
    };
  }

  /** Sends this node's report to all nodes that dialed it. */
  public void announce() {
    broadcast(new NodeMessage.Report(0, owner.report()));
  }

  /** Sends a message to all nodes that dialed this one. */
  public void broadcast(NodeMessage message) {
    PeerConnection.sendToAll(acceptedLinks, message);
  }

  /** Requests newer documents from a node, unless the last such request was too recent. */
  public void fetchFrom(NodeId node, NodeMessage.Fetch fetch) {
    Peer peer = peers.get(node);
    long nowMillis = loop.millis();
    if (peer != null && alive(peer) && nowMillis - lastFetchMillis >= FETCH_INTERVAL_MILLIS) {
      lastFetchMillis = nowMillis;
      peer.link.send(fetch);
    }
  }

  /** Stops dialing. */
  public void stop() {
    stopped = true;
  }

  private void tick() {
    long nowMillis = loop.millis();
    requestNodeList(nowMillis);
    for (Peer peer : peers.values()) {
      if (peer.link == null) {
        redialWhenDue(peer, nowMillis);
      } else if (schedule.timedOut(peer, nowMillis)) {
        LinkLog.write(sink, "link-silent", peer, peer.link, null, nowMillis);
        peer.link.end(null);
      } else if (schedule.due(peer, nowMillis)) {
        ping(peer, nowMillis);
      }
      silentNodes.check(peer, nowMillis);
    }
  }

  /** Sets the services whose moves this node leads, which needs recent reports. */
  void leadsMoves(Set<ServiceName> services) {
    schedule.leadsMoves(services);
  }

  private void ping(Peer peer, long nowMillis) {
    peer.pingSent(nowMillis);
    pings++;
    peer.link.send(new NodeMessage.Ping(nowMillis, owner.report()));
  }

  /** Handles the report in a node's ping. */
  void pingReceived(NodeReport report) {
    Peer peer = peers.get(report.node());
    if (peer != null && peer.link != null) {
      reportReceived(peer, report);
    }
  }

  private void reportReceived(Peer peer, NodeReport report) {
    peer.report = report;
    peer.reportMillis = loop.millis();
    peer.updateLoad(report.load(), peer.reportMillis);
    owner.reported(peer, report);
  }

  /** Returns the number of pings sent. */
  public long pings() {
    return pings;
  }

  /** Handles another node's word that a node does not answer it. */
  void silenceReported(NodeId node) {
    silentNodes.reported(node, loop.millis());
  }

  /** Returns the number of bytes waiting to be sent to other nodes. */
  public long pendingBytes() {
    long sum = 0;
    for (PeerConnection link : acceptedLinks) {
      sum += link.pendingBytes();
    }
    for (Peer peer : peers.values()) {
      sum += peer.link == null ? 0 : peer.link.pendingBytes();
    }
    return sum;
  }

  /** Returns the transfers of large bodies from other nodes. */
  public BodyTransfers bodies() {
    return bodies;
  }

  private void redialWhenDue(Peer peer, long nowMillis) {
    long pause = Math.min(MAX_REDIAL_MILLIS, REDIAL_MILLIS * (1 + peer.failedDials));
    if (!peer.dialing && nowMillis - peer.dialedMillis >= pause) {
      dial(peer);
    } else if (peer.dialing && nowMillis - peer.dialedMillis >= DIAL_TIMEOUT_MILLIS) {
      peer.dialing = false;
      peer.failedDials++;
    }
  }

  private void dial(Peer peer) {
    if (stopped) {
      return;
    }
    peer.dialing = true;
    peer.dialedMillis = loop.millis();
    loop.connect(
        peer.info.address(),
        endPoint -> new PeerConnection(endPoint, loop, new DialedLink(peer)),
        cause -> {
          peer.dialing = false;
          peer.failedDials++;
        });
  }

  private final class DialedLink implements PeerConnection.Listener {
    private final Peer peer;

    DialedLink(Peer peer) {
      this.peer = peer;
    }

    @Override
    public void opened(PeerConnection connection) {
      if (peer.link != null || peers.get(peer.info.node()) != peer) {
        connection.end(null);
        return;
      }
      peer.dialing = false;
      peer.failedDials = 0;
      peer.link = connection;
      peer.pingAnswered();
      peer.dialedMillis = loop.millis();
      peer.heardMillis = peer.dialedMillis;
      connection.send(new NodeMessage.Hello(self, peers.size() + 1));
      ping(peer, loop.millis());
      sink.emit("link-open", null, "peer", peer.info.node());
    }

    @Override
    public void received(PeerConnection connection, NodeMessage message) {
      peer.heardMillis = loop.millis();
      switch (message) {
        case NodeMessage.Report report -> reported(connection, report);
        case NodeMessage.Ended ended -> {
          SentRun run = peer.removeRun(ended.stream());
          peer.updateLoad(ended.load(), loop.millis());
          if (run != null) {
            run.end(ended.end());
          }
        }
        case NodeMessage.BodyCredit credit -> {
          SentRun run = peer.run(credit.stream());
          if (run != null) {
            run.send(credit, connection::send);
          }
        }
        case NodeMessage.NodeList nodes -> {
          nodes.nodes().forEach(PeerMesh.this::addOrUpdate);
          discovery.listReceived();
          owner.allNodesKnown();
        }
        case NodeMessage.Configuration document -> owner.documentReceived(document);
        case NodeMessage.Orders document -> owner.documentReceived(document);
        case NodeMessage.CrashReports crashes -> owner.crashesReported(crashes.reports());
        default -> connection.end(new IllegalStateException("unexpected message: " + message));
      }
    }

    private void reported(PeerConnection connection, NodeMessage.Report message) {
      if (!message.report().node().equals(peer.info.node())) {
        // The instance ended; its address now belongs to another node, with a Peer of its own.
        peers.remove(peer.info.node());
        sink.emit("node-replaced", null, "peer", peer.info.node(), "by", message.report().node());
        connection.end(
            new IllegalStateException(
                "node at " + peer.info.address() + " is " + message.report().node()));
        return;
      }
      if (message.pingMillis() == 0) {
        peer.report = message.report();
        peer.updateLoad(message.report().load(), loop.millis());
        owner.reported(peer, message.report());
        return;
      }
      peer.pingAnswered();
      peer.roundTripMillis = loop.millis() - message.pingMillis();
      reportReceived(peer, message.report());
    }

    @Override
    public void closed(PeerConnection connection, Throwable cause) {
      if (peer.link != connection) {
        return;
      }
      LinkLog.write(sink, "link-lost", peer, connection, cause, loop.millis());
      peer.dialedMillis = loop.millis();
      peer.linkLost();
    }
  }
}
