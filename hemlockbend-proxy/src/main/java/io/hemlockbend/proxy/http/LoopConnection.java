package io.hemlockbend.proxy.http;

import io.hemlockbend.proxy.loop.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * A connection whose bytes are taken in as they come, on the event loop's thread. Reading never
 * stops while it is open, so that a peer's close is seen at once.
 */
public abstract class LoopConnection extends AbstractConnection {
  private static final int READ_BYTES = 64 * 1024;

  /** A peer that sends faster than its bytes are handled must not keep the loop from all others. */
  private static final int MAX_READS_PER_TURN = 4;

  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> BufferUtil.allocate(READ_BYTES));

  private final EventLoop loop;
  private Outbox outbox;
  private final Callback readable = new Readable();
  private boolean ended;

  /** Makes a connection on an end point. */
  protected LoopConnection(EndPoint endPoint, EventLoop loop) {
    super(endPoint, Runnable::run);
    this.loop = loop;
  }

  /** Takes in bytes; all of them are consumed when it returns. */
  protected abstract void received(ByteBuffer bytes);

  /** Hears that the peer sends no more. */
  protected abstract void inputEnded();

  /**
   * Hears once that the connection is over.
   *
   * @param cause why, or null when this side closed it
   */
  protected abstract void ended(Throwable cause);

  /** Returns the event loop. */
  protected final EventLoop loop() {
    return loop;
  }

  /** Returns what writes to the peer. */
  protected final Outbox outbox() {
    if (outbox == null) {
      outbox = new Outbox(loop, getEndPoint(), this::end);
    }
    return outbox;
  }

  /** Returns whether the connection is over. */
  public final boolean isOver() {
    return ended;
  }

  /** Closes the connection; does nothing when it is over. */
  public final void end(Throwable cause) {
    if (ended) {
      return;
    }
    ended = true;
    getEndPoint().close();
    ended(cause);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    fillInterested(readable);
  }

  @Override
  public void onFillable() {
    ByteBuffer buffer = READ_BUFFER.get();
    try {
      for (int reads = 0; !ended; reads++) {
        if (reads == MAX_READS_PER_TURN) {
          loop.execute(this::onFillable);
          return;
        }
        BufferUtil.clear(buffer);
        int filled = getEndPoint().fill(buffer);
        if (filled == 0) {
          fillInterested(readable);
          return;
        }
        if (filled < 0) {
          inputEnded();
          return;
        }
        received(buffer);
        if (filled < READ_BYTES / 2 && !ended) {
          fillInterested(readable);
          return;
        }
      }
    } catch (IOException e) {
      end(e);
    }
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    end(cause);
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    end(cause);
  }

  /** Is called on the loop's thread, as it does not block. */
  private final class Readable implements Callback {
    @Override
    public Invocable.InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }

    @Override
    public void succeeded() {
      onFillable();
    }

    @Override
    public void failed(Throwable cause) {
      onFillInterestedFailed(cause);
    }
  }
}
