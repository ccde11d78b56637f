package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import io.hemlockbend.core.model.Move;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Measures the time to process one second of evidence and to compare a version with its
 * predecessor.
 */
final class VerdictTimeProbe implements Probe {
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int ROUTES = 3;

  private int second;

  @Override
  public ProbeSpec spec() {
    return new ProbeSpec(
        "rollout controller",
        "second of evidence taken in and judged",
        "failure domains with evidence",
        "us",
        List.of(1, 3, 6, 11),
        11);
  }

  @Override
  public double measure(int size) {
    EvidenceWindow window = new EvidenceWindow();
    Move move =
        new Move(
            Fleet.key(1, 1).service(),
            Fleet.key(1, 1).version(),
            Fleet.key(1, 2).version(),
            0,
            Long.MAX_VALUE,
            Move.FULL_SHARE_PERMILLE / 2);
    return Timing.nanos(() -> nextSecond(window, move, size)) / NANOS_PER_MICRO;
  }

  private void nextSecond(EvidenceWindow window, Move move, int domains) {
    second++;
    long now = second * EvidenceWindow.BUCKET_MILLIS;
    for (int domain = 0; domain < domains; domain++) {
      window.accept(report(second, domain), now);
    }
    window.expire(now);
    window.verdict(move, now);
  }

  private static EvidenceReport report(int second, int domain) {
    FailureDomain name = new FailureDomain("domain-" + domain);
    List<RouteEvidence> evidence =
        IntStream.range(0, 2 * ROUTES)
            .mapToObj(
                i ->
                    new RouteEvidence(
                        Fleet.key(1, 1 + i % 2),
                        Fleet.route(1, i / 2).name(),
                        name,
                        100,
                        0,
                        0,
                        500))
            .toList();
    return new EvidenceReport(new NodeId("node-" + domain), second + 1, evidence);
  }
}
