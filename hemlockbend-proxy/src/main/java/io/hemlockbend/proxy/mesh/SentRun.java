package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.RunEnd;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** A request sent to another node to run, with its offered body until that is sent. */
final class SentRun {
  /**
   * Minimum size of a body that is offered before it is sent: what a link of 15 Mbit/s carries in
   * two round trips.
   */
  static final int OFFERED_BYTES = 16 * 1024;

  /** Kept small so that messages between chunks do not wait long. */
  private static final int CHUNK_BYTES = 16 * 1024;

  private final Consumer<RunEnd> listener;
  private final boolean repeatable;
  private final byte[] offered;
  private int sent;

  /**
   * Creates a request that has been sent.
   *
   * @param listener called with the outcome
   * @param repeatable whether the request may run more than once
   * @param offered the body to be sent as credit is granted; empty if the request was sent with its
   *     body
   */
  SentRun(Consumer<RunEnd> listener, boolean repeatable, byte[] offered) {
    this.listener = listener;
    this.repeatable = repeatable;
    this.offered = offered;
  }

  /** Sends the bytes that the other node has granted credit for. */
  void send(NodeMessage.BodyCredit credit, Consumer<NodeMessage> link) {
    int until = Math.min(credit.untilBytes(), offered.length);
    while (sent < until) {
      int length = Math.min(CHUNK_BYTES, until - sent);
      link.accept(
          new NodeMessage.BodyChunk(credit.stream(), ByteBuffer.wrap(offered, sent, length)));
      sent += length;
    }
  }

  /** Returns whether the request may run more than once. */
  boolean repeatable() {
    return repeatable;
  }

  /** Passes the outcome to the listener. */
  void end(RunEnd end) {
    listener.accept(end);
  }

  /**
   * Fails the request after loss of its link; it cannot have run if its body was not fully sent.
   */
  void linkLost(String reason) {
    end(sent < offered.length ? new RunEnd.NotRun(reason) : new RunEnd.Lost(reason));
  }
}
