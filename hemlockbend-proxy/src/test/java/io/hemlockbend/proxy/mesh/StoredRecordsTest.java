package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StoredRecordsTest {
  private static final NodeId NODE = new NodeId("n1");
  private static final FailureDomain TUNIS = new FailureDomain("tunis");
  private static final ServiceName QUOTES = new ServiceName("quotes");

  @Test
  void nodesThatTheStoreLacksOrKnowsFromBeforeARestartAreWritten() {
    NodeInfo current = new NodeInfo(NODE, "127.0.0.1", 1, TUNIS, 20);
    NodeInfo before = new NodeInfo(NODE, "127.0.0.2", 1, TUNIS, 10);
    assertThat(nodes(current).lackedBy(nodes())).isEqualTo(nodes(current));
    assertThat(nodes(current).lackedBy(nodes(before))).isEqualTo(nodes(current));
    assertThat(nodes(current).lackedBy(nodes(current))).isEqualTo(nodes());
    assertThat(nodes(before).lackedBy(nodes(current))).isEqualTo(nodes());
  }

  /** An older copy may show an upstream as in use that leaves, or the one before it. */
  @Test
  void upstreamThatLeavesIsWrittenOverOneInUseButNotTheReverse() {
    StoredRecords inUse = upstream(30, 7, false);
    StoredRecords leaving = upstream(30, 5, true);
    assertThat(leaving.lackedBy(inUse)).isEqualTo(leaving);
    assertThat(inUse.lackedBy(leaving).upstreams()).isEmpty();
    assertThat(inUse.lackedBy(upstream(30, 1, false)).upstreams()).isEmpty();
    assertThat(inUse.lackedBy(upstream(20, 9, true))).isEqualTo(inUse);
    assertThat(upstream(20, 9, true).lackedBy(inUse).upstreams()).isEmpty();
  }

  @Test
  void versionsThatWereTakenBackAreWritten() {
    VersionKey v2 = new VersionKey(QUOTES, new VersionName("v2"));
    VersionKey v3 = new VersionKey(QUOTES, new VersionName("v3"));
    assertThat(takenBack(v2, v3).lackedBy(takenBack(v3))).isEqualTo(takenBack(v2));
  }

  private static StoredRecords nodes(NodeInfo... nodes) {
    return new StoredRecords(
        nodes.length == 0 ? Map.of() : Map.of(NODE, nodes[0]), Map.of(), Set.of());
  }

  private static StoredRecords upstream(long startedMillis, long sequence, boolean draining) {
    UpstreamRecord record =
        new UpstreamRecord(
            new UpstreamId("i-1"),
            startedMillis,
            QUOTES,
            new VersionName("v1"),
            TUNIS,
            "127.0.0.1:2",
            4,
            draining,
            0,
            sequence);
    return new StoredRecords(Map.of(), Map.of(NODE, record), Set.of());
  }

  private static StoredRecords takenBack(VersionKey... versions) {
    return new StoredRecords(Map.of(), Map.of(), Set.copyOf(List.of(versions)));
  }
}
