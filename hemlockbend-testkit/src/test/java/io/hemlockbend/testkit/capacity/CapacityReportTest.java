package io.hemlockbend.testkit.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CapacityReportTest {

  @Test
  void tableGivesSlopeAndValueAtTheTarget() {
    CapacityReport report = new CapacityReport();
    Probe probe = new BodyBytesProbe();
    report.add(
        probe,
        List.of(
            new Sample(50, 1_000),
            new Sample(100, 2_000),
            new Sample(200, 4_000),
            new Sample(350, 7_000)));
    assertThat(report.table()).contains("20.00 bytes each", "7000 bytes at 350");
    assertThat(report.raw()).contains("services,350,bytes,7000.000");
  }

  @Test
  void everyProbeHasEnoughSizesAndMeasuresSomething() {
    assertThat(Probes.all())
        .allSatisfy(probe -> assertThat(probe.spec().sizes()).hasSizeGreaterThan(3));
    assertThat(new PingBytesProbe().measure(0)).isPositive();
  }
}
