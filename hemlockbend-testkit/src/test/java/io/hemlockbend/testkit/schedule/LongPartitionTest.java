package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.distribution.DistributionSettings;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A failure domain is partitioned from the others and the platform for an hour, then rejoins. */
class LongPartitionTest {
  private static final MeshLayout LAYOUT = new MeshLayout(9, 3, 2);
  private static final long PARTITION_MILLIS = 3_600_000;
  private static final long COMMIT_INTERVAL_MILLIS = 60_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void isolatedDomainServesWithoutRegressingAndCatchesUp(long seed) {
    ScheduledMesh mesh =
        new ScheduledMesh(
            new ScheduledMesh.Options(
                LAYOUT, FaultMatrix.UNRELIABLE, DistributionSettings.DEFAULT, 4, true, seed),
            (node, effects) -> effects,
            (step, node) -> {});
    EventQueue queue = mesh.queue();
    MeshNode isolated = mesh.nodes().get(1);
    MeshNode connected = mesh.nodes().get(0);
    mesh.nodes().forEach(mesh::start);
    queue.runUntilMillis(8_000);
    mesh.commitThrough(connected);
    queue.runUntilMillis(12_000);
    mesh.isolateDomain(isolated);
    mesh.inject(Fault.RESTART, isolated);
    for (long end = queue.millis() + PARTITION_MILLIS; queue.millis() < end; ) {
      queue.runUntilMillis(queue.millis() + COMMIT_INTERVAL_MILLIS);
      assertThat(isolated.serves()).as("serves while isolated").isTrue();
      mesh.commitThrough(connected);
    }
    queue.runUntilMillis(queue.millis() + 5_000);
    mesh.endFaults();
    for (int i = 0; i < 40; i++) {
      queue.runUntilMillis(queue.millis() + 250);
      mesh.observe();
    }
    List<String> violations =
        MeshCheck.all(mesh.digester()).stream()
            .flatMap(check -> check.violations(mesh.log()).stream())
            .toList();
    assertThat(violations).isEmpty();
    assertThat(isolated.mark()).isEqualTo(connected.mark());
    assertThat(mesh.log().accepted()).hasSizeGreaterThan(60);
  }
}
