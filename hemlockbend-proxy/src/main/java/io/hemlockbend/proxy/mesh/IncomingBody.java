package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.loop.Timer;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** A request whose body comes in from another node piece by piece; it runs once that is whole. */
final class IncomingBody {
  private static final long NOT_ASKED = -1;

  private final BodyTransfers transfers;
  private final long number;
  private final NodeMessage.Run run;
  private final NodeId from;
  private final PeerConnection link;
  private final Consumer<RunEnd> listener;
  private final long offeredMillis;
  private long waitedMillis = NOT_ASKED;
  private Timer expiry;
  private byte[] content;
  private int length;
  private Runnable takeBack;
  private boolean over;

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

  /** Returns how long it waited until its first bytes were asked for. */
  long waitedMillis() {
    return waitedMillis;
  }

  void expires(Timer timer) {
    expiry = timer;
  }

  /** Asks its sender for bytes; memory is taken only now. */
  void ask(int untilBytes) {
    if (content == null) {
      content = new byte[run.offeredBytes()];
      waitedMillis = transfers.nowMillis() - offeredMillis;
    }
    link.send(new NodeMessage.Ask(run.stream(), untilBytes));
  }

  /**
   * Takes in the next bytes; runs the request when they are the last.
   *
   * @throws IllegalArgumentException when they were not asked for
   */
  void piece(ByteBuffer bytes) {
    if (over || takeBack != null) {
      throw new IllegalArgumentException("a piece behind the end of body " + number);
    }
    int more = bytes.remaining();
    boolean whole = transfers.arrived(this, more);
    bytes.get(content, length, more);
    length += more;
    if (whole) {
      expiry.cancel();
      takeBack = transfers.run(this, content, this::ended);
      content = null;
    }
  }

  /** Takes the request back: it does not run if its body is not whole yet. */
  void cancel() {
    if (takeBack != null) {
      takeBack.run();
    } else {
      end(new RunEnd.NotRun("cancelled"));
    }
  }

  /** Ends the request before its body is whole. */
  void end(RunEnd end) {
    if (!over) {
      transfers.remove(this);
      expiry.cancel();
      ended(end);
    }
  }

  private void ended(RunEnd end) {
    over = true;
    listener.accept(end);
  }
}
