package io.hemlockbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.message.PeerMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PeerListenerTest {
  private final WireCounters counters = new WireCounters();
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final PeerListener listener =
      new PeerListener(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          Messages.SETTINGS,
          Messages.FRAMES,
          counters,
          received::add);

  @AfterEach
  void close() {
    listener.close();
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), listener.port());
  }

  private void assertStillServing() throws Exception {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(Messages.FRAMES.encode(Messages.ping(9)));
      assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo(Messages.ping(9));
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"FRAME_LENGTH", "MALFORMED", "TRUNCATED", "TIMEOUT"})
  void connectionWithABadFrameIsClosedAndCounted(WireException.Kind kind) throws Exception {
    byte[] frame = Messages.FRAMES.encode(Messages.ping(1));
    try (Socket socket = connect()) {
      socket
          .getOutputStream()
          .write(
              switch (kind) {
                case FRAME_LENGTH -> new byte[] {0x7f, 0, 0, 0};
                case MALFORMED -> new byte[] {0, 0, 0, 2, (byte) 0xc1, (byte) 0xc1};
                default -> Arrays.copyOf(frame, frame.length - 1);
              });
      if (kind == WireException.Kind.TRUNCATED) {
        socket.shutdownOutput();
      }
      assertThat(socket.getInputStream().read()).isNegative();
    }
    await().until(() -> counters.errors(kind) == 1);
    assertThat(received).isEmpty();
    assertStillServing();
  }

  @Test
  void surplusConnectionsAreRefused() throws Exception {
    try (Socket first = connect();
        Socket second = connect();
        Socket third = connect()) {
      assertThat(third.getInputStream().read()).isNegative();
      first.getOutputStream().write(Messages.FRAMES.encode(Messages.ping(1)));
      second.getOutputStream().write(Messages.FRAMES.encode(Messages.ping(1)));
      assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo(Messages.ping(1));
      assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo(Messages.ping(1));
    }
    assertThat(counters.refusedConnections()).isEqualTo(1);
  }
}
