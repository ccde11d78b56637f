package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
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
 * the link that it dialed, and the answers and reports of the other side come back on it. A link
 * without answers to its pings is not used, and is dialed anew when it stays so. The two nodes of a
 * pair ping by turns, as a ping tells of its sender too.
 */
public final class PeerMesh {
  private static final long TICK_MILLIS = 100;
  private static final long REDIAL_MILLIS = 300;
  private static final long MAX_REDIAL_MILLIS = 2_000;
  private static final long DIAL_TIMEOUT_MILLIS = 1_500;
  private static final long FETCH_AGAIN_MILLIS = 400;
  private static final byte[] NO_BODY = new byte[0];

  private final EventLoop loop;
  private final NodeInfo self;
  private final MeshOwner owner;
  private final DecisionSink sink;
  private final Map<NodeId, Peer> peers = new TreeMap<>();
  private final Set<PeerConnection> accepted = new HashSet<>();
  private final NodeCensus census = new NodeCensus();
  private final PingSchedule schedule = new PingSchedule(peers::size);
  private final BodyTransfers bodies;
  private long nextStream = 1;
  private long fetchedMillis;
  private long pings;
  private boolean stopped;

  /** Makes the links of a node; none is open until nodes are known. */
  PeerMesh(
      EventLoop loop, NodeInfo self, IntakeSettings intake, MeshOwner owner, DecisionSink sink) {
    this.loop = loop;
    this.self = self;
    this.owner = owner;
    this.sink = sink;
    this.bodies = new BodyTransfers(loop, intake, owner, sink);
    loop.every(TICK_MILLIS, this::tick);
  }

  /** Makes the connection of a node that dialed this one. */
  public Connection accept(EndPoint endPoint) {
    return new PeerConnection(endPoint, loop, new AcceptedLink(this, owner, accepted));
  }

  /** Takes in where a node is; a later start of it replaces an earlier one. */
  public void learn(NodeInfo info) {
    if (info.node().equals(self.node()) || stopped) {
      return;
    }
    Peer peer = peers.get(info.node());
    if (peer == null) {
      peer = new Peer(info);
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

  /** Takes in how many nodes another one knows. */
  void told(int nodes) {
    if (census.told(nodes, peers.size() + 1)) {
      owner.allNodesKnown();
    }
  }

  private void askForNodes(long nowMillis) {
    if (!census.due(peers.size() + 1, nowMillis)) {
      return;
    }
    for (Peer peer : peers.values()) {
      if (alive(peer)) {
        census.asked(nowMillis);
        peer.link.send(new NodeMessage.AskNodes());
        return;
      }
    }
  }

  /** Returns all other nodes that are known, by name. */
  Collection<Peer> peers() {
    return peers.values();
  }

  /** Returns all nodes that are known, this one first. */
  public List<NodeInfo> known() {
    List<NodeInfo> all = new ArrayList<>();
    all.add(self);
    peers.values().forEach(peer -> all.add(peer.info));
    return all;
  }

  /** Returns this node. */
  public NodeInfo self() {
    return self;
  }

  /** Returns whether a node answers. */
  boolean alive(Peer peer) {
    return alive(peer, loop.millis());
  }

  /** Returns whether a node answers at a time; for those who ask of many nodes at once. */
  boolean alive(Peer peer, long nowMillis) {
    return schedule.alive(peer, nowMillis);
  }

  /** Returns whether the node of a name answers. */
  public boolean alive(NodeId node) {
    Peer peer = peers.get(node);
    return peer != null && alive(peer);
  }

  /** Returns whether a node has just answered, so that it need not be missed for long. */
  boolean fresh(Peer peer) {
    return schedule.fresh(peer, loop.millis());
  }

  /** Returns how many other nodes answer. */
  public int aliveCount() {
    return (int) peers.values().stream().filter(this::alive).count();
  }

  /** Sends a request to a peer; returns what takes it back. */
  Runnable run(Peer peer, RunRequest request, Consumer<RunEnd> listener) {
    if (peer.link == null) {
      listener.accept(new RunEnd.NotRun("no link"));
      return () -> {};
    }
    long stream = nextStream++;
    PeerConnection link = peer.link;
    byte[] body = request.http().body();
    boolean offered = body.length >= SentRun.OFFERED_BYTES;
    peer.begun(stream, new SentRun(listener, offered ? body : NO_BODY));
    link.send(
        offered
            ? new NodeMessage.Run(stream, request.withBody(NO_BODY), body.length)
            : new NodeMessage.Run(stream, request, 0));
    return () -> {
      if (peer.ended(stream) != null) {
        link.send(new NodeMessage.Cancel(stream));
      }
    };
  }

  /** Tells all nodes at once what changed here. */
  public void announce() {
    broadcast(new NodeMessage.Report(0, owner.report()));
  }

  /** Sends a message to all nodes that dialed this one. */
  public void broadcast(NodeMessage message) {
    PeerConnection.sendToAll(accepted, message);
  }

  /** Asks one node that is ahead of this one for its documents. */
  public void fetchFrom(NodeId node, NodeMessage.Fetch fetch) {
    Peer peer = peers.get(node);
    long nowMillis = loop.millis();
    if (peer != null && alive(peer) && nowMillis - fetchedMillis >= FETCH_AGAIN_MILLIS) {
      fetchedMillis = nowMillis;
      peer.link.send(fetch);
    }
  }

  /** Stops dialing. */
  public void stop() {
    stopped = true;
  }

  private void tick() {
    long nowMillis = loop.millis();
    askForNodes(nowMillis);
    for (Peer peer : peers.values()) {
      if (peer.link == null) {
        redialWhenDue(peer, nowMillis);
      } else if (schedule.silent(peer, nowMillis)) {
        noteLink("link-silent", peer, peer.link, null);
        peer.link.end(null);
      } else if (schedule.due(peer, nowMillis)) {
        ping(peer, nowMillis);
      }
    }
  }

  private void ping(Peer peer, long nowMillis) {
    peer.pinged(nowMillis);
    pings++;
    peer.link.send(new NodeMessage.Ping(nowMillis, owner.report()));
  }

  /** Takes in what a node tells with its ping. */
  void pingedBy(NodeReport report) {
    Peer peer = peers.get(report.node());
    if (peer != null && peer.link != null) {
      heard(peer, report);
    }
  }

  private void heard(Peer peer, NodeReport report) {
    peer.report = report;
    peer.reportMillis = loop.millis();
    peer.load(report.load(), peer.reportMillis);
    owner.reported(peer, report);
  }

  /** Returns how many pings were sent. */
  public long pings() {
    return pings;
  }

  /** Logs the state of a link with what shows whether the node, its peer or the way is slow. */
  private void noteLink(String event, Peer peer, PeerConnection link, Throwable cause) {
    long nowMillis = loop.millis();
    sink.decided(
        event,
        null,
        "peer",
        peer.info.node(),
        "cause",
        cause,
        "reportAgeMillis",
        nowMillis - peer.reportMillis,
        "bytesAgeMillis",
        nowMillis - link.receivedMillis(),
        "pendingBytes",
        link.pendingBytes(),
        "partialBytes",
        link.partialBytes(),
        "open",
        peer.outstanding());
  }

  /** Returns how many bytes wait to be sent to other nodes. */
  public long pendingBytes() {
    long sum = 0;
    for (PeerConnection link : accepted) {
      sum += link.pendingBytes();
    }
    for (Peer peer : peers.values()) {
      sum += peer.link == null ? 0 : peer.link.pendingBytes();
    }
    return sum;
  }

  /** Returns the large bodies that come in from other nodes. */
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
      peer.answered();
      peer.dialedMillis = loop.millis();
      connection.send(new NodeMessage.Hello(self, peers.size() + 1));
      ping(peer, loop.millis());
      sink.decided("link-open", null, "peer", peer.info.node());
    }

    @Override
    public void received(PeerConnection connection, NodeMessage message) {
      switch (message) {
        case NodeMessage.Report report -> reported(connection, report);
        case NodeMessage.Ended ended -> {
          SentRun run = peer.ended(ended.stream());
          peer.load(ended.load(), loop.millis());
          if (run != null) {
            run.end(ended.end());
          }
        }
        case NodeMessage.Ask ask -> {
          SentRun run = peer.run(ask.stream());
          if (run != null) {
            run.send(ask, connection::send);
          }
        }
        case NodeMessage.Nodes nodes -> {
          nodes.known().forEach(PeerMesh.this::learn);
          census.answered();
          owner.allNodesKnown();
        }
        case NodeMessage.Configuration document -> owner.document(document);
        case NodeMessage.Orders document -> owner.document(document);
        case NodeMessage.Crashes crashes -> owner.crashes(crashes.reports());
        default -> connection.end(new IllegalStateException("unexpected " + message));
      }
    }

    private void reported(PeerConnection connection, NodeMessage.Report news) {
      if (!news.report().node().equals(peer.info.node())) {
        // The instance ended and its address went to another node, which has an entry of its own.
        peers.remove(peer.info.node());
        sink.decided("node-replaced", null, "peer", peer.info.node(), "by", news.report().node());
        connection.end(new IllegalStateException("is " + news.report().node()));
        return;
      }
      if (news.pingMillis() == 0) {
        peer.report = news.report();
        peer.load(news.report().load(), loop.millis());
        owner.reported(peer, news.report());
        return;
      }
      peer.answered();
      peer.roundTripMillis = loop.millis() - news.pingMillis();
      heard(peer, news.report());
    }

    @Override
    public void closed(PeerConnection connection, Throwable cause) {
      if (peer.link != connection) {
        return;
      }
      noteLink("link-lost", peer, connection, cause);
      peer.link = null;
      peer.report = null;
      peer.dialedMillis = loop.millis();
      peer.loseAll("link to " + peer.info.node() + " lost");
    }
  }
}
