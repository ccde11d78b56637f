package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.distribution.DistributionSettings;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A part of the mesh loses the others and the platform for an hour, and comes back. */
class LongCutTest {
  private static final MeshLayout LAYOUT = new MeshLayout(9, 3, 2);
  private static final long CUT_MILLIS = 3_600_000;
  private static final long COMMIT_INTERVAL_MILLIS = 60_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void partServesOnWithoutGoingBackAndCatchesUp(long seed) {
    ScheduledMesh mesh =
        new ScheduledMesh(
            new ScheduledMesh.Options(
                LAYOUT, FaultMatrix.ROUGH, DistributionSettings.DEFAULT, 4, true, seed),
            (node, effects) -> effects,
            (step, node) -> {});
    EventQueue queue = mesh.queue();
    MeshNode parted = mesh.nodes().get(1);
    MeshNode whole = mesh.nodes().get(0);
    mesh.nodes().forEach(mesh::start);
    queue.runUntilMillis(8_000);
    mesh.commitThrough(whole);
    queue.runUntilMillis(12_000);
    mesh.cutWithPlatform(parted);
    mesh.strike(Fault.RESTART, parted);
    for (long end = queue.millis() + CUT_MILLIS; queue.millis() < end; ) {
      queue.runUntilMillis(queue.millis() + COMMIT_INTERVAL_MILLIS);
      assertThat(parted.serves()).as("serves while parted").isTrue();
      mesh.commitThrough(whole);
    }
    queue.runUntilMillis(queue.millis() + 5_000);
    mesh.endFaults();
    for (int look = 0; look < 40; look++) {
      queue.runUntilMillis(queue.millis() + 250);
      mesh.look();
    }
    List<String> violations =
        MeshCheck.all(mesh.digester()).stream()
            .flatMap(check -> check.violations(mesh.log()).stream())
            .toList();
    assertThat(violations).isEmpty();
    assertThat(parted.mark()).isEqualTo(whole.mark());
    assertThat(mesh.log().accepted()).hasSizeGreaterThan(60);
  }
}
