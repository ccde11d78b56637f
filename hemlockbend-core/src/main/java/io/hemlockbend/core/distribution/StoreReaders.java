package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.NodeId;
import java.util.Collection;

/**
 * Chooses which nodes of a failure domain read the platform's store; the others get its changes
 * from them. In a large mesh a change is then read a few times instead of by every node, which
 * would saturate the nodes' links when changes come in quick succession.
 */
public final class StoreReaders {
  /** The number of nodes of each failure domain that read the store. */
  public static final int PER_DOMAIN = 2;

  private StoreReaders() {}

  /**
   * Returns whether a node reads the store: the first ones by name do, so that the node that leads
   * traffic moves is among them.
   *
   * @param self the node
   * @param others the other nodes of its failure domain that answer its messages and reach the
   *     store
   */
  public static boolean readsStore(NodeId self, Collection<NodeId> others) {
    return others.stream().filter(other -> other.compareTo(self) < 0).count() < PER_DOMAIN;
  }
}
