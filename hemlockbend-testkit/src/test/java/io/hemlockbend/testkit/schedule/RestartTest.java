package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.distribution.DistributionSettings;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node restarts during a platform outage and joins through a peer with an older version. */
class RestartTest {
  private static final MeshLayout LAYOUT = new MeshLayout(9, 3, 2);

  /** Returns the violations of the monotonicity check. */
  private static List<String> regressions(DistributionSettings settings, long seed) {
    ScheduledMesh mesh =
        new ScheduledMesh(
            new ScheduledMesh.Options(LAYOUT, FaultMatrix.UNRELIABLE, settings, 4, true, seed),
            (node, effects) -> effects,
            (step, node) -> {});
    EventQueue queue = mesh.queue();
    mesh.nodes().forEach(mesh::start);
    queue.runUntilMillis(8_000);
    mesh.commit();
    queue.runUntilMillis(12_000);
    MeshNode lagging = mesh.nodes().get(0);
    MeshNode restarted = mesh.nodes().get(1);
    mesh.inject(Fault.CUT, lagging);
    mesh.commitThrough(restarted);
    queue.runUntilMillis(12_005);
    mesh.inject(Fault.PLATFORM_DOWN, restarted);
    queue.runUntilMillis(14_000);
    assertThat(restarted.mark().version()).isGreaterThan(lagging.mark().version());
    restarted.kill();
    queue.runUntilMillis(14_300);
    mesh.healPartitions();
    restarted.start(List.of(lagging.address()));
    queue.runUntilMillis(30_000);
    assertThat(restarted.serves()).isTrue();
    return new MeshCheck.Monotone().violations(mesh.log());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void restartedNodeServesNoOlderVersion(long seed) {
    assertThat(regressions(DistributionSettings.DEFAULT, seed)).isEmpty();
  }

  @Test
  void servingFromTheFirstPeerWouldRegress() {
    DistributionSettings firstPeerOnly =
        new DistributionSettings(2, 500, 6, 400, 1_000, 1, 0, 1, 64);
    List<String> violations =
        LongStream.rangeClosed(1, 10)
            .boxed()
            .flatMap(seed -> regressions(firstPeerOnly, seed).stream())
            .toList();
    assertThat(violations).isNotEmpty();
  }
}
