package io.hemlockbend.proxy.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class NodeMessageCodecTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionName V1 = new VersionName("v1");
  private static final NodeInfo NODE =
      new NodeInfo(new NodeId("n1"), "10.0.0.1", 8300, new FailureDomain("tunis"), 17);
  private static final UpstreamLoad LOAD = new UpstreamLoad(3, 3, 2, 1, 9, 61.5, 0.25, 140, 1_637);

  static List<NodeMessage> messages() {
    UpstreamRecord record =
        new UpstreamRecord(
            new UpstreamId("i-1"), 5, QUOTES, V1, NODE.domain(), "10.0.0.1:80", 9, true, 250, 4);
    NodeReport report =
        new NodeReport(
            NODE.node(),
            7,
            new StoreVersion(2, 8),
            3,
            false,
            true,
            record,
            LOAD,
            List.of(new RouteCounts(new RouteName("r1"), 10, 2, 1, 512.5)),
            List.of(
                new MoveShare(
                    QUOTES,
                    V1,
                    new StoreVersion(2, 11),
                    3,
                    50,
                    Optional.of(new UpstreamId("i-9")),
                    900,
                    MoveOrder.State.RUNNING)));
    return List.of(
        new NodeMessage.Hello(NODE, 85),
        new NodeMessage.NodesRequest(),
        new NodeMessage.NodeList(List.of(NODE, NODE)),
        new NodeMessage.Report(99, report),
        new NodeMessage.Cancel(6),
        new NodeMessage.BodyCredit(6, 65_536),
        new NodeMessage.BodyChunk(6, ByteBuffer.wrap(new byte[] {9, 0, -1, 13, 7}, 1, 3)),
        new NodeMessage.Ping(123, report),
        new NodeMessage.CrashReports(
            List.of(new Suspicion(new RequestId("f"), List.of(new UpstreamId("i-1")), 600_000))),
        new NodeMessage.Fetch(12, StoreVersion.NONE, 2),
        new NodeMessage.Silence(NODE.node()),
        new NodeMessage.Ended(6, new RunEnd.NotRun("full"), LOAD),
        new NodeMessage.Ended(6, new RunEnd.Lost("reset"), LOAD),
        new NodeMessage.Orders(
            new OperatorOrders(
                new StoreVersion(3, 12),
                Set.of(NODE.domain()),
                List.of(
                    new MoveOrder(
                        QUOTES, V1, new StoreVersion(3, 11), 15_000, MoveOrder.State.COMPLETED)),
                Set.of(new VersionKey(QUOTES, V1))),
            new OperatorOrders(
                new StoreVersion(3, 12), Set.of(new FailureDomain("sfax")), List.of(), Set.of()),
            4_500));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messagesRoundTrip(NodeMessage message) {
    assertThat(roundTrip(message)).isEqualTo(message);
  }

  @Test
  void requestAndAnswerBodiesRoundTrip() {
    byte[] body = {0, 1, -1, 13, 10};
    HttpRequest http =
        new HttpRequest("POST", "/a/b?c=%20", List.of(new HttpField("X-A", "b")), body);
    RunRequest run =
        new RunRequest(
            "id",
            "r1",
            new VersionKey(QUOTES, V1),
            new UpstreamId("i-1"),
            1,
            false,
            -5,
            900,
            true,
            http);
    NodeMessage.Run read = (NodeMessage.Run) roundTrip(new NodeMessage.Run(6, run, 70_000));
    assertThat(read.request().http().body()).isEqualTo(body);
    assertThat(read.request().http().target()).isEqualTo("/a/b?c=%20");
    assertThat(read.request().targetMillis()).isEqualTo(-5);
    assertThat(read.request().repeat()).isTrue();

    HttpReply reply = new HttpReply(207, List.of(new HttpField("X-B", "c")), body);
    NodeMessage.Ended ended =
        (NodeMessage.Ended)
            roundTrip(new NodeMessage.Ended(6, new RunEnd.Answered(reply, 44), LOAD));
    HttpReply back = ((RunEnd.Answered) ended.end()).reply();
    assertThat(back.status()).isEqualTo(207);
    assertThat(back.field("x-b")).isEqualTo("c");
    assertThat(back.body()).isEqualTo(body);
  }

  @Test
  void rejectsMalformedMessages() {
    assertThatThrownBy(() -> NodeMessageCodec.read(new byte[] {99}))
        .isInstanceOf(PeerException.class);
    assertThatThrownBy(() -> NodeMessageCodec.read(new byte[] {3, 1}))
        .isInstanceOf(PeerException.class);
  }

  private static NodeMessage roundTrip(NodeMessage message) {
    ByteBuffer frame = NodeMessageCodec.frame(message);
    byte[] body = new byte[frame.getInt()];
    frame.get(body);
    assertThat(frame.hasRemaining()).isFalse();
    return NodeMessageCodec.read(body);
  }
}
