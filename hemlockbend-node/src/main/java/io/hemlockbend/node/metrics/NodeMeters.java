package io.hemlockbend.node.metrics;

import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.node.control.ControlLoop;
import io.hemlockbend.wire.WireCounters;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Registers meters that read the node's state at each scrape. */
public final class NodeMeters {

  private NodeMeters() {}

  /**
   * Registers the meters.
   *
   * @param registry the registry of the meters
   * @param wire the counters of control messages
   * @param control the source of the configuration version and the members
   * @param admission the source of the upstream's load and limit
   */
  public static void register(
      MeterRegistry registry, WireCounters wire, ControlLoop control, AdmissionService admission) {
    Gauge.builder("hemlockbend.configuration.version", control, NodeMeters::version)
        .description("Number of the configuration in force")
        .register(registry);
    Gauge.builder("hemlockbend.members.alive", control, NodeMeters::alive)
        .description("Nodes that the mesh believes alive")
        .register(registry);
    Gauge.builder("hemlockbend.admission.running", admission, AdmissionService::running)
        .description("Requests that run on the upstream")
        .register(registry);
    Gauge.builder("hemlockbend.admission.queued", admission, AdmissionService::queued)
        .description("Requests that wait for the upstream")
        .register(registry);
    Gauge.builder("hemlockbend.admission.limit", admission, AdmissionService::currentLimit)
        .description("Requests that the upstream may run at once now")
        .register(registry);
    FunctionCounter.builder("hemlockbend.control.received", wire, WireCounters::bytesIn)
        .baseUnit("bytes")
        .description("Control messages read")
        .register(registry);
    FunctionCounter.builder("hemlockbend.control.sent", wire, WireCounters::bytesOut)
        .baseUnit("bytes")
        .description("Control messages written")
        .register(registry);
    FunctionCounter.builder("hemlockbend.control.dropped", wire, WireCounters::dropped)
        .baseUnit("messages")
        .description("Control messages dropped unsent")
        .register(registry);
  }

  private static double version(ControlLoop control) {
    return control.snapshot().inForce().version().value();
  }

  private static double alive(ControlLoop control) {
    return control.snapshot().members().stream()
        .filter(member -> member.status() == MemberStatus.ALIVE)
        .count();
  }
}
