package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the bytes of an evidence report on the wire. */
final class EvidenceBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public String role() {
    return "rollout controller";
  }

  @Override
  public String name() {
    return "evidence report on the wire";
  }

  @Override
  public String sizeUnit() {
    return "routes and versions in it";
  }

  @Override
  public String unit() {
    return "bytes";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(2, 4, 6, 12);
  }

  @Override
  public int target() {
    return 6;
  }

  @Override
  public double measure(int size) {
    return codec.encode(report(size)).length;
  }

  static EvidenceReport report(int routes) {
    List<RouteEvidence> evidence =
        IntStream.range(0, routes)
            .mapToObj(
                i ->
                    new RouteEvidence(
                        Fleet.key(1, 1 + i % 2),
                        Fleet.route(1, i / 2).name(),
                        new FailureDomain("domain-1"),
                        132,
                        0,
                        1,
                        812.5))
            .toList();
    return new EvidenceReport(new NodeId("node-1"), 1, evidence);
  }
}
