package io.hemlockbend.proxy.mesh;

/**
 * Tells whether other nodes know of more nodes than this one, and when to ask for them. Greetings
 * carry only how many there are: at the start of a large mesh, lists in all greetings would fill
 * the instances' links just when configurations are to come in.
 */
final class NodeCensus {
  private static final long ASK_AGAIN_MILLIS = 300;

  private int told;
  private long askedMillis = Long.MIN_VALUE / 2;

  /**
   * Takes in how many nodes another one knows.
   *
   * @param nodes how many it knows, with itself
   * @param known how many this one knows, with itself
   * @return whether this one knows as many as any told
   */
  boolean told(int nodes, int known) {
    told = Math.max(told, nodes);
    return known >= told;
  }

  /** Takes in the nodes that another one knows; what was told before counts no more. */
  void answered() {
    told = 0;
  }

  /** Returns whether to ask for nodes now. */
  boolean due(int known, long nowMillis) {
    return known < told && nowMillis - askedMillis >= ASK_AGAIN_MILLIS;
  }

  /** Takes in that a node was asked. */
  void asked(long nowMillis) {
    askedMillis = nowMillis;
  }
}
