package io.hemlockbend.proxy.peer;

import io.hemlockbend.proxy.http.LoopConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection with another node; carries messages both ways. */
public final class PeerConnection extends LoopConnection {
  private static final int MAX_FRAME_BYTES = 80 * 1024 * 1024;
  private static final int FIRST_BYTES = 4 * 1024;

  /** Hears what happens on a connection. */
  public interface Listener {
    /** The connection is open. */
    void opened(PeerConnection connection);

    /** A message came. */
    void received(PeerConnection connection, NodeMessage message);

    /** The connection is over. */
    void closed(PeerConnection connection, Throwable cause);
  }

  private final Listener listener;
  private byte[] held = new byte[FIRST_BYTES];
  private int heldLength;
  private long receivedMillis;
  private long frameBeganMillis;

  /** Makes a connection on an end point. */
  public PeerConnection(EndPoint endPoint, EventLoop loop, Listener listener) {
    super(endPoint, loop);
    this.listener = listener;
    this.receivedMillis = loop.millis();
  }

  /** Sends a message; nothing happens when the connection is over. */
  public void send(NodeMessage message) {
    if (!isOver()) {
      outbox().add(NodeMessageCodec.frame(message));
    }
  }

  /** Sends a message on several connections; it is encoded once. */
  public static void sendToAll(Collection<PeerConnection> connections, NodeMessage message) {
    ByteBuffer frame = NodeMessageCodec.frame(message);
    for (PeerConnection connection : connections) {
      if (!connection.isOver()) {
        connection.outbox().add(frame.duplicate());
      }
    }
  }

  /** Returns when the last bytes came, in the loop's milliseconds. */
  public long receivedMillis() {
    return receivedMillis;
  }

  /** Returns how long the message that is handed on took from its first byte to its last. */
  public long frameMillis() {
    return receivedMillis - frameBeganMillis;
  }

  /** Returns how many bytes came of a message that is not whole yet. */
  public long partialBytes() {
    return heldLength;
  }

  /** Returns how many bytes wait to be sent. */
  public long pendingBytes() {
    return outbox().pendingBytes();
  }

  @Override
  public void onOpen() {
    super.onOpen();
    listener.opened(this);
  }

  @Override
  protected void received(ByteBuffer bytes) {
    receivedMillis = loop().millis();
    if (heldLength == 0) {
      frameBeganMillis = receivedMillis;
    }
    hold(bytes);
    int offset = 0;
    while (!isOver() && heldLength - offset >= Integer.BYTES) {
      int length = ByteBuffer.wrap(held, offset, Integer.BYTES).getInt();
      if (length < 1 || length > MAX_FRAME_BYTES) {
        end(new PeerException("frame of " + length + " bytes", null));
        return;
      }
      if (heldLength - offset - Integer.BYTES < length) {
        break;
      }
      int from = offset + Integer.BYTES;
      offset = from + length;
      take(Arrays.copyOfRange(held, from, offset));
      frameBeganMillis = receivedMillis;
    }
    System.arraycopy(held, offset, held, 0, heldLength - offset);
    heldLength -= offset;
  }

  @Override
  protected void inputEnded() {
    end(null);
  }

  @Override
  protected void ended(Throwable cause) {
    listener.closed(this, cause);
  }

  private void hold(ByteBuffer bytes) {
    int more = bytes.remaining();
    if (heldLength + more > held.length) {
      held = Arrays.copyOf(held, Math.max(heldLength + more, 2 * held.length));
    }
    bytes.get(held, heldLength, more);
    heldLength += more;
    BufferUtil.clear(bytes);
  }

  private void take(byte[] body) {
    NodeMessage message;
    try {
      message = NodeMessageCodec.read(body);
    } catch (PeerException e) {
      end(e);
      return;
    }
    listener.received(this, message);
  }
}
