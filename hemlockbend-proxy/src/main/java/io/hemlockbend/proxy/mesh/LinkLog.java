package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.PeerConnection;

/** Logs the state of a link, with values that show whether node, peer or network is slow. */
final class LinkLog {
  private LinkLog() {}

  static void write(
      DecisionSink sink,
      String event,
      Peer peer,
      PeerConnection link,
      Throwable cause,
      long nowMillis) {
    sink.emit(
        event,
        null,
        "peer",
        peer.info.node(),
        "cause",
        cause,
        "reportAgeMillis",
        nowMillis - peer.reportMillis,
        "bytesAgeMillis",
        nowMillis - link.lastReceivedMillis(),
        "pendingBytes",
        link.pendingBytes(),
        "partialBytes",
        link.partialBytes(),
        "open",
        peer.outstanding());
  }
}
