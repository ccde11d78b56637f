package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.NodeInfo;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the nodes keep in the store for nodes that start later.
 *
 * @param nodes the addresses of the nodes
 * @param upstreams the upstreams, by the node beside each
 * @param takenBack the versions that moves found bad
 */
public record StoredRecords(
    Map<NodeId, NodeInfo> nodes, Map<NodeId, UpstreamRecord> upstreams, Set<VersionKey> takenBack) {
  /** Copies the collections. */
  public StoredRecords {
    nodes = Map.copyOf(nodes);
    upstreams = Map.copyOf(upstreams);
    takenBack = Set.copyOf(takenBack);
  }

  /** Returns those of these records that the store lacks, or has in an earlier form. */
  public StoredRecords lackedBy(StoredRecords stored) {
    Map<NodeId, NodeInfo> lackedNodes = new HashMap<>(nodes);
    lackedNodes
        .values()
        .removeIf(
            node -> {
              NodeInfo there = stored.nodes.get(node.node());
              return there != null && there.startedMillis() >= node.startedMillis();
            });
    Map<NodeId, UpstreamRecord> lackedUpstreams = new HashMap<>(upstreams);
    lackedUpstreams
        .entrySet()
        .removeIf(
            upstream -> {
              UpstreamRecord there = stored.upstreams.get(upstream.getKey());
              return there != null && !upstream.getValue().saysMoreThan(there);
            });
    Set<VersionKey> lackedVersions = new HashSet<>(takenBack);
    lackedVersions.removeAll(stored.takenBack);
    return new StoredRecords(lackedNodes, lackedUpstreams, lackedVersions);
  }
}
