package io.hemlockbend.wire;

/**
 * Limits and time-outs of the connections between nodes.
 *
 * @param maxFrameBytes the maximum length of an encoded message
 * @param maxIncoming the maximum number of open incoming connections
 * @param maxOutgoing the maximum number of open outgoing connections
 * @param queueMessages the capacity of the send queue of each peer
 * @param connectTimeoutMillis how long a connection attempt may take
 * @param frameTimeoutMillis how long a frame may take from its first byte
 * @param idleMillis after how long without a message an incoming connection is closed; an outgoing
 *     one is closed after half of it
 * @param answerTimeoutMillis how long a peer may leave a message unanswered before its connection
 *     is reopened
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
  /** The settings for meshes of up to a few thousand nodes. */
  public static final WireSettings DEFAULT =
      new WireSettings(4 * 1024 * 1024, 1_024, 256, 64, 1_000, 5_000, 30_000, 1_500);
}
