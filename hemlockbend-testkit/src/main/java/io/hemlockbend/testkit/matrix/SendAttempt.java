package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.AttemptEnd;

/** One attempt of a send: a connection from an entry to a node, open until one end closes it. */
final class SendAttempt {

  /** A reply on the connection. */
  sealed interface Reply {
    /** The first part of a streamed answer. */
    record FirstPart() implements Reply {}

    /** The complete answer, or the rest of a streamed one. */
    record Complete(int requestNumber) implements Reply {}

    /** The end of the attempt without a complete answer. */
    record Failed(AttemptEnd end) implements Reply {}
  }

  final Send send;
  final EntryModel entry;
  final NodeModel node;
  boolean open = true;
  boolean sent;
  boolean partForwarded;

  SendAttempt(Send send, EntryModel entry, NodeModel node) {
    this.send = send;
    this.entry = entry;
    this.node = node;
  }
}
