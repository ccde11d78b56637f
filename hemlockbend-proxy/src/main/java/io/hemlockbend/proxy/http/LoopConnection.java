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
 * A connection whose bytes are read as they arrive, on the event loop's thread. Reading never
 * pauses while the connection is open, so that a close by the peer is detected at once.
 */
public abstract class LoopConnection extends AbstractConnection {
  private static final int READ_BUFFER_BYTES = 64 * 1024;

  /** Keeps a peer that sends faster than its bytes are processed from starving the others. */
  private static final int MAX_READS_PER_ITERATION = 4;

  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> BufferUtil.allocate(READ_BUFFER_BYTES));

  private final EventLoop loop;
  private WriteQueue writeQueue;
  private final Callback readable = new Readable();
  private boolean ended;

  /** Creates a connection on an end point. */
  protected LoopConnection(EndPoint endPoint, EventLoop loop) {
    super(endPoint, Runnable::run);
    this.loop = loop;
  }

  /** Processes received bytes; must consume all of them. */
  protected abstract void received(ByteBuffer bytes);

  /** Called when the peer has closed its side of the connection. */
  protected abstract void inputEnded();

  /**
   * Called once when the connection has ended.
   *
   * @param cause the failure, or null if the connection was closed normally
   */
  protected abstract void ended(Throwable cause);

  /** Returns the event loop. */
  protected final EventLoop loop() {
    return loop;
  }

  /** Returns the queue of buffers to write to the peer. */
  protected final WriteQueue writeQueue() {
    if (writeQueue == null) {
      writeQueue = new WriteQueue(loop, getEndPoint(), this::end);
    }
    return writeQueue;
  }

  /** Returns whether the connection has ended. */
  public final boolean hasEnded() {
    return ended;
  }

  /**
   * Closes the connection; does nothing if it has ended.
   *
   * @param cause the failure, or null for a normal close
   */
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
        if (reads == MAX_READS_PER_ITERATION) {
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
        if (filled < READ_BUFFER_BYTES / 2 && !ended) {
          fillInterested(readable);
          return;
        }
      }
    } catch (IOException | RuntimeException | VirtualMachineError e) {
      // Whatever a message causes must cost its connection only.
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

  /** Non-blocking, so that Jetty invokes it on the loop's thread. */
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
