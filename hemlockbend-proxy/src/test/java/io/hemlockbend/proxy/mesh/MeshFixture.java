package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.retry.RetryBounds;
import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.traffic.ColdAllowance;
import io.hemlockbend.core.traffic.RetrySemantics;
import io.hemlockbend.core.traffic.TrafficConfiguration;
import io.hemlockbend.core.traffic.TrafficRoute;
import io.hemlockbend.core.traffic.TrafficService;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.core.traffic.WeightedService;
import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.RawServer;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Nodes in one process, each with a scripted upstream beside it. */
final class MeshFixture implements AutoCloseable {
  static final ServiceName SERVICE = new ServiceName("quotes");
  static final VersionName V1 = new VersionName("v1");
  static final FieldNames NAMES =
      new FieldNames("Id", "Deadline", "Seal", "Expected", "Not-Run", "Caller", "Up", "Cold");
  static final RetryBounds RETRIES = new RetryBounds(0.2, 60, 10_000);
  static final long GRACE_MILLIS = 6_000;

  /** The timeout of upload requests. */
  static final long UPLOAD_MILLIS = 4_000;

  private static final long UPLOAD_TARGET_MILLIS = 3_000;
  private static final int WAIT_SECONDS = 10;
  private static final int OCTET = 250;

  /** Below the operating system's range of ephemeral ports. */
  private static final int FIRST_PORT = 10_000;

  private static final AtomicInteger FIXTURES = new AtomicInteger();

  /** A node and its upstream. */
  final class Member {
    final EventLoop loop = new EventLoop();
    final RawServer upstream;
    final MeshNode node;
    final InetSocketAddress callers = ownAddress();
    final UpstreamId id;
    final List<MoveOrder> savedMoves = new CopyOnWriteArrayList<>();
    private final AtomicLong sequence = new AtomicLong();
    private VersionName version = V1;

    Member(int number, String domain, RawServer.Script script) {
      upstream = new RawServer(script);
      id = new UpstreamId("i-" + number);
      InetSocketAddress peers = ownAddress();
      NodeInfo self =
          new NodeInfo(
              new NodeId("n" + number), host, peers.getPort(), new FailureDomain(domain), number);
      MeshSettings settings =
          new MeshSettings(
              self,
              SERVICE,
              callers,
              upstream.address(),
              NAMES,
              RETRIES,
              ColdAllowance.NONE,
              intake,
              GRACE_MILLIS);
      node =
          new MeshNode(
              loop,
              settings,
              bytes -> configuration(bytes[0]),
              new RecordingState(this),
              DecisionSink.NONE);
      loop.start();
      runOnLoop(
          () -> {
            node.listen();
            node.updateConfiguration(new byte[] {1});
          });
    }

    void runOnLoop(Runnable task) {
      CompletableFuture.runAsync(task, loop::execute)
          .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
          .join();
    }

    <T> T callOnLoop(java.util.function.Supplier<T> query) {
      return CompletableFuture.supplyAsync(query, loop::execute)
          .orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
          .join();
    }

    void announce(VersionName ofVersion) {
      version = ofVersion;
      announce(false, 0);
    }

    void announce(boolean draining, long coldMillis) {
      UpstreamRecord record = record(draining, coldMillis);
      runOnLoop(() -> node.handleAnnouncement(record));
    }

    UpstreamRecord record(boolean draining, long coldMillis) {
      InetSocketAddress at = upstream.address();
      return new UpstreamRecord(
          id,
          1,
          SERVICE,
          version,
          node.mesh().self().domain(),
          at.getAddress().getHostAddress() + ":" + at.getPort(),
          4,
          draining,
          coldMillis,
          sequence.incrementAndGet());
    }

    void orders(long number, Set<FailureDomain> withdrawn) {
      runOnLoop(
          () ->
              node.updateOrders(
                  new OperatorOrders(new StoreVersion(1, number), withdrawn, List.of(), Set.of())));
    }
  }

  private final String host = ownHost();
  private int ports;

  /** Limits for large bodies at the nodes added from now on. */
  IntakeSettings intake = IntakeSettings.UNKNOWN_RATE;

  final List<Member> members = new ArrayList<>();
  final ConcurrentLinkedQueue<String> ran = new ConcurrentLinkedQueue<>();

  /** Adds a node whose upstream answers every request at once. */
  Member add(String domain) {
    int number = members.size() + 1;
    return add(domain, socket -> answerAll(socket, "n" + number));
  }

  Member add(String domain, RawServer.Script script) {
    Member member = new Member(members.size() + 1, domain, script);
    members.add(member);
    for (Member other : members) {
      member.runOnLoop(() -> member.node.mesh().addOrUpdate(other.node.mesh().self()));
    }
    return member;
  }

  /**
   * Adds a node that knows only one other node, reached through a local port; it announces no
   * upstream.
   */
  Member addBehind(String domain, Member other, int port) {
    NodeInfo there = other.node.mesh().self();
    return addKnowing(
        domain,
        new NodeInfo(there.node(), NarrowLink.HOST, port, there.domain(), there.startedMillis()));
  }

  /** Adds a node that knows only one other node, as if its store were unreachable. */
  Member addKnowing(String domain, NodeInfo other) {
    int number = members.size() + 1;
    Member member = new Member(number, domain, socket -> answerAll(socket, "n" + number));
    members.add(member);
    member.runOnLoop(() -> member.node.mesh().addOrUpdate(other));
    return member;
  }

  void answerAll(Socket socket, String name) throws IOException {
    for (String id = RawServer.readRequestId(socket);
        id != null;
        id = RawServer.readRequestId(socket)) {
      ran.add(id + "@" + name);
      RawServer.write(
          socket,
          "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\n" + name);
    }
  }

  /** Sends a request to a node and returns the whole response. */
  static String get(Member member, String path, String id) throws IOException {
    try (Socket socket = new Socket(member.callers.getAddress(), member.callers.getPort())) {
      socket.setSoTimeout(WAIT_SECONDS * 1_000);
      RawServer.write(
          socket,
          "GET "
              + path
              + " HTTP/1.1\r\nHost: shop\r\nId: "
              + id
              + "\r\nDeadline: 2000\r\nConnection: close\r\n\r\n");
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @Override
  public void close() throws IOException {
    for (Member member : members) {
      member.loop.close();
      member.upstream.close();
    }
  }

  private static TrafficConfiguration configuration(long version) {
    List<WeightedService> services = List.of(new WeightedService(SERVICE, 1));
    return new TrafficConfiguration(
        version,
        List.of(
            new TrafficRoute(
                "r1", "shop", "/a/", RetrySemantics.IDEMPOTENT, 1_500, 200, 1, 2, services),
            new TrafficRoute(
                "r2", "shop", "/once/", RetrySemantics.AT_MOST_ONCE, 1_500, 200, 1, 2, services),
            new TrafficRoute(
                "r3",
                "shop",
                "/up/",
                RetrySemantics.AT_MOST_ONCE,
                UPLOAD_MILLIS,
                UPLOAD_TARGET_MILLIS,
                1,
                2,
                services)),
        List.of(new TrafficService(SERVICE, "/health", 100, 3_000, 32)),
        CallerLimits.DEFAULT);
  }

  /**
   * Returns a loopback address that nothing else uses: a free port of 127.0.0.1 may be taken by
   * another process's connection before it is bound.
   */
  private static String ownHost() {
    long pid = ProcessHandle.current().pid();
    int fixture = FIXTURES.incrementAndGet();
    return "127."
        + (1 + pid % OCTET)
        + "."
        + (1 + pid / OCTET % OCTET)
        + "."
        + (1 + fixture % OCTET);
  }

  private InetSocketAddress ownAddress() {
    ports++;
    return new InetSocketAddress(host, FIRST_PORT + ports);
  }

  private record RecordingState(Member member) implements DurableState {
    @Override
    public void saveMove(MoveOrder move, Consumer<Boolean> done) {
      member.savedMoves.add(move);
      done.accept(true);
    }

    @Override
    public void repair(StoredRecords known, Consumer<Boolean> done) {
      done.accept(true);
    }

    @Override
    public void restoreReported(long era) {
      // Tests give the nodes their orders themselves.
    }

    @Override
    public CompletableFuture<Void> saveUpstream(UpstreamRecord upstream) {
      // Tests restore records themselves.
      return CompletableFuture.completedFuture(null);
    }
  }
}
