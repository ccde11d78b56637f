package io.hemlockbend.proxy.http;

import io.hemlockbend.proxy.loop.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Writes buffers to an end point in their order, and all that one turn of the loop makes in one
 * system call.
 */
public final class Outbox implements Callback {
  private static final int MAX_GATHERED = 64;

  private final EventLoop loop;
  private final EndPoint endPoint;
  private final Consumer<Throwable> failed;
  private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
  private Runnable whenDrained;
  private boolean writing;
  private boolean flushPlanned;
  private boolean broken;
  private long pendingBytes;
  private long writingBytes;

  /**
   * Makes an outbox.
   *
   * @param loop the event loop
   * @param endPoint where to write
   * @param failed hears once that the connection takes no more bytes
   */
  public Outbox(EventLoop loop, EndPoint endPoint, Consumer<Throwable> failed) {
    this.loop = loop;
    this.endPoint = endPoint;
    this.failed = failed;
  }

  /** Adds a buffer; it is written before the loop waits next. */
  public void add(ByteBuffer buffer) {
    if (broken || !buffer.hasRemaining()) {
      return;
    }
    waiting.add(buffer);
    pendingBytes += buffer.remaining();
    planFlush();
  }

  /** Returns how many bytes are not yet handed to the operating system. */
  public long pendingBytes() {
    return pendingBytes;
  }

  /** Returns whether all bytes went out. */
  public boolean drained() {
    return !writing && waiting.isEmpty();
  }

  /** Runs a task once all bytes went out. */
  public void whenDrained(Runnable task) {
    if (drained()) {
      task.run();
    } else {
      whenDrained = task;
    }
  }

  @Override
  public Invocable.InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }

  @Override
  public void succeeded() {
    writing = false;
    pendingBytes -= writingBytes;
    if (!waiting.isEmpty()) {
      planFlush();
    } else if (whenDrained != null) {
      Runnable task = whenDrained;
      whenDrained = null;
      task.run();
    }
  }

  @Override
  public void failed(Throwable cause) {
    writing = false;
    if (!broken) {
      broken = true;
      waiting.clear();
      failed.accept(cause);
    }
  }

  private void planFlush() {
    if (!flushPlanned) {
      flushPlanned = true;
      loop.beforeWait(this::flush);
    }
  }

  private void flush() {
    flushPlanned = false;
    if (writing || broken || waiting.isEmpty()) {
      return;
    }
    ByteBuffer[] batch = new ByteBuffer[Math.min(MAX_GATHERED, waiting.size())];
    writingBytes = 0;
    for (int i = 0; i < batch.length; i++) {
      batch[i] = waiting.poll();
      writingBytes += batch[i].remaining();
    }
    writing = true;
    endPoint.write(this, batch);
  }
}
