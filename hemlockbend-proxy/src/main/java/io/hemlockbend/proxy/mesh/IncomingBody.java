package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.loop.Timer;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** A request whose body arrives from another node in chunks; it runs once the body is complete. */
final class IncomingBody {
  private static final long NO_CREDIT = -1;

  private final BodyTransfers transfers;
  private final long number;
  private final NodeMessage.Run run;
  private final NodeId from;
  private final PeerConnection link;
  private final Consumer<RunEnd> listener;
  private final long offeredMillis;
  private long waitedMillis = NO_CREDIT;
  private Timer expiry;
  private byte[] content;
  private int length;
  private Runnable cancelRun;
  private boolean completed;

  IncomingBody(
      BodyTransfers transfers,
      long number,
      NodeMessage.Run run,
      NodeId from,
      PeerConnection link,
      Consumer<RunEnd> listener,
      long offeredMillis) {
    this.transfers = transfers;
    this.number = number;
    this.run = run;
    this.from = from;
    this.link = link;
    this.listener = listener;
    this.offeredMillis = offeredMillis;
  }

  long number() {
    return number;
  }

  RunRequest request() {
    return run.request();
  }

  int offeredBytes() {
    return run.offeredBytes();
  }

  NodeId from() {
    return from;
  }

  long offeredMillis() {
    return offeredMillis;
  }

  /** Returns the time from the offer to the first credit, in milliseconds; -1 before it. */
  long waitedMillis() {
    return waitedMillis;
  }

  void setExpiry(Timer timer) {
    expiry = timer;
  }

  /** Grants credit to the sender; the buffer is allocated with the first credit. */
  void sendCredit(int untilBytes) {
    if (content == null) {
      content = new byte[run.offeredBytes()];
      waitedMillis = transfers.nowMillis() - offeredMillis;
    }
    link.send(new NodeMessage.BodyCredit(run.stream(), untilBytes));
  }

  /**
   * Appends the next bytes; runs the request if they are the last.
   *
   * @throws IllegalArgumentException if the bytes exceed the credit, the body is complete or the
   *     request has ended
   */
  void append(ByteBuffer bytes) {
    if (completed || cancelRun != null) {
      throw new IllegalArgumentException(
          "received " + bytes.remaining() + " bytes of body " + number + " after its end");
    }
    int more = bytes.remaining();
    boolean complete = transfers.received(this, more);
    bytes.get(content, length, more);
    length += more;
    if (complete) {
      expiry.cancel();
      cancelRun = transfers.run(this, content, this::ended);
      content = null;
    }
  }

  /** Cancels the request; it does not run if its body is not complete yet. */
  void cancel() {
    if (cancelRun != null) {
      cancelRun.run();
    } else {
      end(new RunEnd.NotRun("cancelled"));
    }
  }

  /** Ends the request before its body is complete; does nothing if it has already ended. */
  void end(RunEnd end) {
    if (!completed) {
      transfers.remove(this);
      expiry.cancel();
      ended(end);
    }
  }

  private void ended(RunEnd end) {
    completed = true;
    listener.accept(end);
  }
}
