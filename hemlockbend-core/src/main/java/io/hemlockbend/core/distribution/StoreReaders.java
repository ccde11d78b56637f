package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.NodeId;
import java.util.Collection;

/**
 * Chooses which nodes of a failure domain follow the platform's store; the others get its news from
 * them. In a large mesh a change is then read a few times and not by every node, whose link it
 * would fill when changes come in quick succession.
 */
public final class StoreReaders {
  /** How many nodes of each failure domain follow the store. */
  public static final int PER_DOMAIN = 2;

  private StoreReaders() {}

  /**
   * Returns whether a node follows the store: the first by name do, so that the node that leads
   * moves of traffic is among them.
   *
   * @param self the node
   * @param others the other nodes of its failure domain that answer it and reach the store
   */
  public static boolean follows(NodeId self, Collection<NodeId> others) {
    return others.stream().filter(other -> other.compareTo(self) < 0).count() < PER_DOMAIN;
  }
}
