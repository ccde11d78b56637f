package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.AttemptEnd;

/** One try of a send: a connection from an entry to a node, open until either end closes it. */
final class Try {

  /** What comes back on the connection. */
  sealed interface Reply {
    /** The first part of a streamed answer. */
    record Part() implements Reply {}

    /** The rest of an answer. */
    record Whole(int ofRequest) implements Reply {}

    /** No whole answer. */
    record Failed(AttemptEnd end) implements Reply {}
  }

  final Send send;
  final EntryModel entry;
  final NodeModel node;
  boolean open = true;
  boolean sent;
  boolean partForwarded;

  Try(Send send, EntryModel entry, NodeModel node) {
    this.send = send;
    this.entry = entry;
    this.node = node;
  }
}
