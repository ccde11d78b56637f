package io.hemlockbend.node.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.model.VersionState;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.core.routing.RoutingInput;
import io.hemlockbend.core.routing.RoutingTable;
import io.hemlockbend.node.TrafficView;
import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.node.admission.Quarantine;
import io.hemlockbend.node.admission.RunListener;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.forward.CallBody;
import io.hemlockbend.node.forward.Forwarder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An upstream takes a request and breaks the connection; what follows is no reason for not run. */
class EntryServiceTest {
  private static final NodeId SELF = new NodeId("n1");
  private static final FailureDomain DOMAIN = new FailureDomain("tunis");
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionKey V1 = new VersionKey(QUOTES, new VersionName("v1"));
  private static final long DEADLINE_MILLIS = 5_000;

  private final HttpClient client = new HttpClient();
  private final AtomicLong nowMillis = new AtomicLong();
  private final AtomicInteger taken = new AtomicInteger();
  private ServerSocket upstream;

  @BeforeEach
  void start() throws Exception {
    client.start();
    upstream = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::breakConnections);
  }

  @AfterEach
  void stop() throws Exception {
    upstream.close();
    client.stop();
  }

  private void breakConnections() {
    while (!upstream.isClosed()) {
      try (Socket socket = upstream.accept()) {
        if (socket.getInputStream().read() >= 0) {
          taken.incrementAndGet();
        }
      } catch (IOException e) {
        // The test has ended, or the client closed first.
      }
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestThatMayHaveRunIsNotRefusedAsNotRun(boolean deadlinePasses) throws Exception {
    TrafficView view = new ViewOfOneTurn(deadlinePasses);
    EntryService entry =
        new EntryService(
            SELF,
            view,
            admission(),
            new Forwarder(client, 1_000),
            decision -> {},
            nowMillis::get,
            1_000);
    Answer answer =
        entry
            .serve(
                new IncomingRequest(
                    "GET",
                    "/quotes/1",
                    "/quotes/1",
                    HttpFields.EMPTY,
                    CallBody.Buffered.NONE,
                    new RequestId("r1"),
                    Optional.empty(),
                    DEADLINE_MILLIS))
            .get(10, TimeUnit.SECONDS);
    assertThat(taken).hasPositiveValue();
    boolean saysNotRun =
        answer instanceof Answer.NodeError error && error.outcome() == ReportedOutcome.NOT_RUN;
    assertThat(saysNotRun).as("answer %s says not run", answer).isFalse();
  }

  /** Serves the first attempt; then the table is gone, or the deadline has passed. */
  private final class ViewOfOneTurn implements TrafficView {
    private final boolean deadlinePasses;
    private int turns;

    ViewOfOneTurn(boolean deadlinePasses) {
      this.deadlinePasses = deadlinePasses;
    }

    @Override
    public Optional<RoutingTable> table() {
      turns++;
      if (turns > 1 && deadlinePasses) {
        nowMillis.set(DEADLINE_MILLIS);
      }
      return turns > 1 && !deadlinePasses
          ? Optional.empty()
          : Optional.of(EntryServiceTest.table(meshAddress()));
    }

    @Override
    public Standing standing(RequestId request) {
      return Standing.CLEAR;
    }
  }

  private NodeAddress meshAddress() {
    return new NodeAddress("127.0.0.1", upstream.getLocalPort());
  }

  private static RoutingTable table(NodeAddress address) {
    Configuration configuration =
        new Configuration(
            new ConfigurationVersion(1),
            new TreeMap<>(
                Map.of(QUOTES, new Service(QUOTES, new TeamName("quotes"), V1.version()))),
            new TreeMap<>(Map.of(V1, VersionState.USABLE)),
            new TreeMap<>(
                Map.of(
                    new RouteName("quotes"),
                    new Route(new RouteName("quotes"), "/quotes", QUOTES, Priority.NORMAL))),
            new TreeMap<>(),
            new TreeMap<>());
    Member self =
        new Member(
            SELF,
            new Region("tn"),
            DOMAIN,
            address,
            address,
            1,
            MemberStatus.ALIVE,
            new ConfigurationVersion(1),
            Optional.of(endpoint()));
    return RoutingTable.build(new RoutingInput(configuration, List.of(self), Set.of(), DOMAIN, 0));
  }

  private static Endpoint endpoint() {
    return new Endpoint(new UpstreamId("u1"), new StartId("s1"), V1, EndpointState.READY, 4);
  }

  private AdmissionService admission() {
    AdmissionService admission =
        new AdmissionService(
            new Forwarder(client, 1_000),
            (call, run) -> run.get(),
            new Quarantine(),
            new NoListener(),
            decision -> {},
            nowMillis::get);
    admission.announced(endpoint(), meshAddress(), AdmissionGate.open(V1));
    return admission;
  }

  private static final class NoListener implements RunListener {
    @Override
    public void ended(Call call, RunOutcome outcome, double serviceMillis, boolean cold) {
      // Not needed.
    }

    @Override
    public void crashed(List<Suspicion> inFlight) {
      // Not needed.
    }

    @Override
    public CompletableFuture<Void> unreachable() {
      return CompletableFuture.completedFuture(null);
    }
  }
}
