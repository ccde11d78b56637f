package io.hemlockbend.testkit.capacity;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.evidence.VersionComparison;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the comparison of a version with its predecessor over the whole window. */
final class VerdictTimeProbe implements Probe {
  private static final double NANOS_PER_MICRO = 1e3;
  private static final int SECONDS = 120;
  private static final int ROUTES = 3;

  @Override
  public String role() {
    return "rollout controller";
  }

  @Override
  public String name() {
    return "verdict on a version";
  }

  @Override
  public String sizeUnit() {
    return "failure domains with evidence";
  }

  @Override
  public String unit() {
    return "us";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(1, 3, 6, 11);
  }

  @Override
  public int target() {
    return 11;
  }

  @Override
  public double measure(int size) {
    EvidenceWindow window = new EvidenceWindow();
    for (int second = 0; second < SECONDS; second++) {
      for (int domain = 0; domain < size; domain++) {
        window.accept(report(second, domain), second * 1_000L);
      }
    }
    long now = SECONDS * 1_000L;
    return Timing.nanos(
            () -> VersionComparison.judge(window.strata(Fleet.key(1, 1), Fleet.key(1, 2), now), 0))
        / NANOS_PER_MICRO;
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
