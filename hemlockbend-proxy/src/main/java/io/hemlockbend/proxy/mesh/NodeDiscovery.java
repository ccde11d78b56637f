package io.hemlockbend.proxy.mesh;

/**
 * Tracks whether other nodes know more nodes than this one, and when to request their node list.
 * Hello messages carry only the number of nodes: at the start of a large mesh, full lists in all of
 * them would saturate the instances' links just when configurations are distributed.
 */
final class NodeDiscovery {
  private static final long REQUEST_INTERVAL_MILLIS = 300;

  private int highestCount;
  private long lastRequestMillis = Long.MIN_VALUE / 2;

  /**
   * Records the number of nodes that another node knows.
   *
   * @param nodes the number that it knows, itself included
   * @param known the number that this node knows, itself included
   * @return whether this node knows at least as many nodes as any other has reported
   */
  boolean countReported(int nodes, int known) {
    highestCount = Math.max(highestCount, nodes);
    return known >= highestCount;
  }

  /** Records that a node list was received; counts reported before no longer apply. */
  void listReceived() {
    highestCount = 0;
  }

  /** Returns whether to request a node list now. */
  boolean requestDue(int known, long nowMillis) {
    return known < highestCount && nowMillis - lastRequestMillis >= REQUEST_INTERVAL_MILLIS;
  }

  /** Records that a node list was requested. */
  void listRequested(long nowMillis) {
    lastRequestMillis = nowMillis;
  }
}
