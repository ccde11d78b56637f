package io.hemlockbend.testkit.capacity;

import java.util.List;

/** All probes, in the order of the report. */
final class Probes {

  private Probes() {}

  static List<Probe> all() {
    return List.of(
        new RoutingDecisionProbe(),
        new RoutingTableTimeProbe(),
        new RoutingTableMemoryProbe(),
        new AdmissionTimeProbe(),
        new MembershipMemoryProbe(),
        new PingTimeProbe(),
        new PingBytesProbe(),
        new ApplyTimeProbe(),
        new ConfigurationMemoryProbe(),
        new BodyBytesProbe(),
        new DeltaBytesProbe(),
        new EvidenceBytesProbe(),
        new VerdictTimeProbe());
  }
}
