package io.hemlockbend.proxy.peer;

import io.hemlockbend.proxy.http.LoopConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection to another node, with messages in both directions. */
public final class PeerConnection extends LoopConnection {
  private static final int MAX_FRAME_BYTES = 80 * 1024 * 1024;
  private static final int INITIAL_BUFFER_BYTES = 4 * 1024;

  /** Receives the events of a connection. */
  public interface Listener {
    /** The connection is open. */
    void opened(PeerConnection connection);

    /** A message was received. */
    void received(PeerConnection connection, NodeMessage message);

    /** The connection is closed; the cause is null when it was closed without an error. */
    void closed(PeerConnection connection, Throwable cause);
  }

  private final Listener listener;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int bufferedBytes;
  private long lastReceivedMillis;
  private long frameStartMillis;

  /** Creates a connection on an end point. */
  public PeerConnection(EndPoint endPoint, EventLoop loop, Listener listener) {
    super(endPoint, loop);
    this.listener = listener;
    this.lastReceivedMillis = loop.millis();
  }

  /** Sends a message; does nothing when the connection is closed. */
  public void send(NodeMessage message) {
    if (!hasEnded()) {
      writeQueue().add(NodeMessageCodec.frame(message));
    }
  }

  /** Sends a message on several connections, encoding it once. */
  public static void sendToAll(Collection<PeerConnection> connections, NodeMessage message) {
    ByteBuffer frame = NodeMessageCodec.frame(message);
    for (PeerConnection connection : connections) {
      if (!connection.hasEnded()) {
        connection.writeQueue().add(frame.duplicate());
      }
    }
  }

  /** Returns when bytes were last received, in milliseconds of the loop's clock. */
  public long lastReceivedMillis() {
    return lastReceivedMillis;
  }

  /** Returns the milliseconds between the first and last byte of the message being delivered. */
  public long frameReadMillis() {
    return lastReceivedMillis - frameStartMillis;
  }

  /** Returns how many bytes of an incomplete message were received. */
  public long partialBytes() {
    return bufferedBytes;
  }

  /** Returns how many bytes wait to be sent. */
  public long pendingBytes() {
    return writeQueue().pendingBytes();
  }

  @Override
  public void onOpen() {
    super.onOpen();
    listener.opened(this);
  }

  @Override
  protected void received(ByteBuffer bytes) {
    lastReceivedMillis = loop().millis();
    if (bufferedBytes == 0) {
      frameStartMillis = lastReceivedMillis;
    }
    append(bytes);
    int offset = 0;
    while (!hasEnded() && bufferedBytes - offset >= Integer.BYTES) {
      int length = ByteBuffer.wrap(buffer, offset, Integer.BYTES).getInt();
      if (length < 1 || length > MAX_FRAME_BYTES) {
        end(new PeerException("frame length " + length + " outside 1 to " + MAX_FRAME_BYTES, null));
        return;
      }
      if (bufferedBytes - offset - Integer.BYTES < length) {
        break;
      }
      int from = offset + Integer.BYTES;
      offset = from + length;
      deliver(Arrays.copyOfRange(buffer, from, offset));
      frameStartMillis = lastReceivedMillis;
    }
    System.arraycopy(buffer, offset, buffer, 0, bufferedBytes - offset);
    bufferedBytes -= offset;
  }

  @Override
  protected void inputEnded() {
    end(null);
  }

  @Override
  protected void ended(Throwable cause) {
    listener.closed(this, cause);
  }

  private void append(ByteBuffer bytes) {
    int more = bytes.remaining();
    if (bufferedBytes + more > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(bufferedBytes + more, 2 * buffer.length));
    }
    bytes.get(buffer, bufferedBytes, more);
    bufferedBytes += more;
    BufferUtil.clear(bytes);
  }

  private void deliver(byte[] body) {
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
