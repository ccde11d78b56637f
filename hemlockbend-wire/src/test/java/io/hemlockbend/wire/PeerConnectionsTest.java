package io.hemlockbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerConnectionsTest {
  private static final int MESSAGES_TO_DEAD_PEER = 2_000;
  private static final Duration POLL = Duration.ofMillis(1);

  private final WireCounters counters = new WireCounters();
  private ServerSocket server;

  @BeforeEach
  void open() throws IOException {
    server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    server.setSoTimeout(10_000);
  }

  @AfterEach
  void close() throws IOException {
    server.close();
  }

  private static PeerConnections connections(WireCounters counters, int answerTimeoutMillis) {
    WireSettings base = Messages.SETTINGS;
    WireSettings settings =
        new WireSettings(
            base.maxFrameBytes(),
            base.maxIncoming(),
            base.maxOutgoing(),
            base.queueMessages(),
            base.connectTimeoutMillis(),
            base.frameTimeoutMillis(),
            base.idleMillis(),
            answerTimeoutMillis);
    return new PeerConnections(settings, Messages.FRAMES, counters);
  }

  private NodeAddress address() {
    return new NodeAddress("127.0.0.1", server.getLocalPort());
  }

  private static PeerMessage read(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    return Messages.FRAMES.read(in).orElseThrow().message();
  }

  @Test
  void messagesShareOneConnection() throws Exception {
    try (PeerConnections connections = connections(counters, 60_000)) {
      connections.send(new Outbound(address(), Messages.ping(1)));
      connections.send(new Outbound(address(), Messages.ping(2)));
      try (Socket socket = server.accept()) {
        assertThat(read(socket)).isEqualTo(Messages.ping(1));
        assertThat(read(socket)).isEqualTo(Messages.ping(2));
      }
      assertThat(connections.size()).isEqualTo(1);
    }
  }

  @Test
  void overdueAnswerOpensANewConnection() throws Exception {
    try (PeerConnections connections = connections(counters, 0)) {
      connections.send(new Outbound(address(), Messages.ping(1)));
      try (Socket silent = server.accept()) {
        assertThat(read(silent)).isEqualTo(Messages.ping(1));
        connections.send(new Outbound(address(), Messages.ping(2)));
        try (Socket fresh = server.accept()) {
          assertThat(read(fresh)).isEqualTo(Messages.ping(2));
          connections.messageReceived(address(), ack(2));
          connections.send(new Outbound(address(), Messages.ping(3)));
          assertThat(read(fresh)).isEqualTo(Messages.ping(3));
        }
      }
    }
    assertThat(counters.reopened()).isEqualTo(1);
  }

  @Test
  void onlyAnAckOfASentPingKeepsTheConnection() throws Exception {
    try (PeerConnections connections = connections(counters, 0)) {
      connections.send(new Outbound(address(), Messages.ping(1)));
      try (Socket silent = server.accept()) {
        assertThat(read(silent)).isEqualTo(Messages.ping(1));
        connections.messageReceived(address(), Messages.ping(7));
        connections.messageReceived(address(), ack(99));
        connections.send(new Outbound(address(), Messages.ping(2)));
        try (Socket fresh = server.accept()) {
          assertThat(read(fresh)).isEqualTo(Messages.ping(2));
        }
      }
    }
    assertThat(counters.reopened()).isEqualTo(1);
  }

  private static PeerMessage ack(long sequence) {
    return new PeerMessage.Ack(
        new NodeId("b"), sequence, PeerMessage.VersionMark.NONE, List.of(), List.of(), List.of());
  }

  @Test
  void messagesToADeadPeerAreDroppedAndCounted() throws Exception {
    NodeAddress dead = address();
    server.close();
    try (PeerConnections connections = connections(counters, 60_000)) {
      connections.send(new Outbound(dead, Messages.ping(1)));
      await().until(() -> connections.size() == 0);
      await().until(() -> counters.dropped() == 1);
    }
    assertThat(counters.messagesOut()).isZero();
  }

  /**
   * Many links whose connect is refused at once, so that a link may end before, while or after its
   * message is queued.
   */
  @Test
  void everyMessageToADeadPeerIsCounted() throws Exception {
    NodeAddress dead = address();
    server.close();
    try (PeerConnections connections = connections(counters, 60_000)) {
      for (int i = 1; i <= MESSAGES_TO_DEAD_PEER; i++) {
        connections.send(new Outbound(dead, Messages.ping(i)));
        if (i % 2 == 0) {
          await().pollInterval(POLL).until(() -> connections.size() == 0);
        }
      }
      await().until(() -> counters.dropped() == MESSAGES_TO_DEAD_PEER);
    }
    assertThat(counters.messagesOut()).isZero();
  }
}
