package io.hemlockbend.testkit.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.testkit.platform.InMemoryTable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The platform's table comes back from an older copy, under nodes that have a later version. */
class RestoredTableTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ServiceName COUNTER = new ServiceName("counter");
  private static final VersionKey V1 = new VersionKey(COUNTER, new VersionName("v1"));

  private EmbeddedMesh mesh;
  private MeshOperator operator;

  @BeforeEach
  void startMesh() {
    mesh =
        EmbeddedMesh.start(
            List.of(
                new UpstreamSpec("c1", "prai", "counter", "v1", 12, 1),
                new UpstreamSpec("c2", "ipoh", "counter", "v1", 12, 1)),
            "",
            1);
    await().atMost(TIMEOUT).until(mesh::settled);
    operator = new MeshOperator(mesh);
  }

  @AfterEach
  void stopMesh() {
    operator.close();
    mesh.close();
  }

  @Test
  void acceptedVersionThatTheTableHasLostIsAcceptedAgain() {
    commit(new Change.AddVersion(V1, new TeamName("counter")));
    InMemoryTable.Copy copy = mesh.platform().table().copy();
    VersionMark lost = commit(route("first"));
    mesh.platform().table().restore(copy);
    await().atMost(TIMEOUT).untilAsserted(() -> assertThat(current()).contains(lost.version()));
    VersionMark next = commit(route("second"));
    assertThat(next.version().value()).isEqualTo(lost.version().value() + 1);
  }

  /** Else it would be accepted under the version that the nodes hold with other content. */
  @Test
  void commitAfterTheRestoreFollowsTheVersionThatTheTableHasLost() {
    commit(new Change.AddVersion(V1, new TeamName("counter")));
    InMemoryTable.Copy copy = mesh.platform().table().copy();
    VersionMark lost = commit(route("first"));
    mesh.platform().table().restore(copy);
    VersionMark next = commit(route("second"));
    assertThat(next.version().value()).isEqualTo(lost.version().value() + 1);
    assertThat(mesh.members().getFirst().node().snapshot().configuration().routes())
        .containsKeys(new RouteName("first"), new RouteName("second"));
  }

  private VersionMark commit(Change change) {
    VersionMark mark = operator.commit(change);
    await().atMost(TIMEOUT).until(() -> mesh.inForceEverywhere(mark.version()));
    return mark;
  }

  private Optional<ConfigurationVersion> current() {
    return mesh.platform()
        .table()
        .read(RowKey.CURRENT)
        .map(Row::value)
        .map(value -> ((RowValue.Current) value).version());
  }

  private static Change route(String name) {
    return new Change.PutRoute(
        new Route(new RouteName(name), "/" + name, COUNTER, Priority.NORMAL));
  }
}
