package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.Delta;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the encoded size of a delta. */
final class DeltaBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "distribution", "delta on the wire", "changes in it", "bytes", List.of(1, 2, 4, 8), 1);
  }

  @Override
  public double measure(int size) {
    List<List<Change>> steps =
        IntStream.range(0, size)
            .mapToObj(i -> List.<Change>of(new Change.PutRoute(Fleet.route(i, 1))))
            .toList();
    Delta delta = new Delta(new NodeId("node-1"), VersionMark.NONE, VersionMark.NONE, steps);
    return codec.encode(delta).length;
  }
}
