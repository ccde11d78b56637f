package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;

/**
 * Distributes nodes over failure domains, and failure domains over regions.
 *
 * @param nodes the number of nodes
 * @param domains the number of failure domains
 * @param regions the number of regions
 */
record MeshLayout(int nodes, int domains, int regions) {
  private static final int PORT = 7_000;
  private static final int BYTE_VALUES = 256;

  MeshNode.NodeSite site(int index) {
    int domain = index % domains;
    return new MeshNode.NodeSite(
        new NodeId(String.format("node-%04d", index)),
        new Region("region-" + domain % regions),
        new FailureDomain("domain-" + domain),
        new NodeAddress("10.0." + index / BYTE_VALUES + "." + index % BYTE_VALUES, PORT));
  }
}
