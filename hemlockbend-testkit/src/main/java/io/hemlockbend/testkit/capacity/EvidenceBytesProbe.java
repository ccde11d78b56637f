package io.hemlockbend.testkit.capacity;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the encoded size of an evidence report. */
final class EvidenceBytesProbe implements Probe {
  private final MessagePackCodec codec = new MessagePackCodec();

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "rollout controller",
        "evidence report on the wire",
        "routes and versions in it",
        "bytes",
        List.of(2, 4, 6, 12),
        6);
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
