package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.Ping;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;

/** Measures the encoded size of a ping. */
final class PingBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "membership", "ping on the wire", "claims in it", "bytes", List.of(0, 2, 4, 6, 8), 6);
  }

  @Override
  public double measure(int size) {
    Ping ping =
        new Ping(
            new NodeId("node-1"),
            1,
            VersionMark.NONE,
            Fleet.members(size, Fleet.TARGET_SERVICES),
            List.of(),
            List.of());
    return codec.encode(ping).length;
  }
}
