package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.RunEnd;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** A request that another node was asked to run, with its body as far as that is not sent yet. */
final class SentRun {
  /**
   * From which size on a body is offered before it is sent: what a link of 15 Mbit/s carries in the
   * time of two round trips.
   */
  static final int OFFERED_BYTES = 16 * 1024;

  /** Small, so that messages between pieces do not wait long. */
  private static final int PIECE_BYTES = 16 * 1024;

  private final Consumer<RunEnd> listener;
  private final byte[] offered;
  private int sent;

  /**
   * Makes a request that was sent.
   *
   * @param listener hears how it ended
   * @param offered the body that is sent when it is asked for; empty when none is
   */
  SentRun(Consumer<RunEnd> listener, byte[] offered) {
    this.listener = listener;
    this.offered = offered;
  }

  /** Sends the bytes that the other node asks for. */
  void send(NodeMessage.Ask ask, Consumer<NodeMessage> link) {
    int until = Math.min(ask.untilBytes(), offered.length);
    while (sent < until) {
      int length = Math.min(PIECE_BYTES, until - sent);
      link.accept(new NodeMessage.Piece(ask.stream(), ByteBuffer.wrap(offered, sent, length)));
      sent += length;
    }
  }

  /** Tells the listener how it ended. */
  void end(RunEnd end) {
    listener.accept(end);
  }

  /** Ends it as its link is lost: it cannot have run while a part of its body was not sent. */
  void linkLost(String reason) {
    end(sent < offered.length ? new RunEnd.NotRun(reason) : new RunEnd.Lost(reason));
  }
}
