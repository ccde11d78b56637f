package io.hemlockbend.wire;

/**
 * Bounds of the connections between nodes.
 *
 * @param maxFrameBytes the longest message
 * @param maxIncoming how many incoming connections are open at once
 * @param maxOutgoing how many outgoing connections are open at once
 * @param queueMessages how many messages wait for one peer at most
 * @param connectTimeoutMillis how long a connection attempt may take
 * @param frameTimeoutMillis how long a frame may take once it has begun
 * @param idleMillis after how long without a message a connection is closed
 * @param answerTimeoutMillis for how long a peer may owe an answer before its connection is opened
 *     anew
 */
public record WireSettings(
    int maxFrameBytes,
    int maxIncoming,
    int maxOutgoing,
    int queueMessages,
    int connectTimeoutMillis,
    int frameTimeoutMillis,
    int idleMillis,
    int answerTimeoutMillis) {
  /** The bounds for meshes of up to some thousand nodes. */
  public static final WireSettings DEFAULT =
      new WireSettings(4 * 1024 * 1024, 1_024, 256, 64, 1_000, 5_000, 30_000, 1_500);
}
