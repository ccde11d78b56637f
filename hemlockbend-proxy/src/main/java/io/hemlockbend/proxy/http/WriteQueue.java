package io.hemlockbend.proxy.http;

import io.hemlockbend.proxy.loop.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Writes buffers to an end point in order. Buffers that are added in one iteration of the event
 * loop are combined into one gathering write.
 */
public final class WriteQueue implements Callback {
  private static final int MAX_BATCH_BUFFERS = 64;

  private final EventLoop loop;
  private final EndPoint endPoint;
  private final Consumer<Throwable> failed;
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private Runnable whenDrained;
  private boolean writing;
  private boolean flushScheduled;
  private boolean broken;
  private long pendingBytes;
  private long writingBytes;

  /**
   * Creates an empty queue.
   *
   * @param loop the event loop
   * @param endPoint the end point to write to
   * @param failed called once when a write fails; no more bytes are written then
   */
  public WriteQueue(EventLoop loop, EndPoint endPoint, Consumer<Throwable> failed) {
    this.loop = loop;
    this.endPoint = endPoint;
    this.failed = failed;
  }

  /** Adds a buffer; a write starts before the loop waits next, unless one is in progress. */
  public void add(ByteBuffer buffer) {
    if (broken || !buffer.hasRemaining()) {
      return;
    }
    queue.add(buffer);
    pendingBytes += buffer.remaining();
    scheduleFlush();
  }

  /** Returns how many bytes are not yet passed to the operating system. */
  public long pendingBytes() {
    return pendingBytes;
  }

  /** Returns whether all bytes are written. */
  public boolean drained() {
    return !writing && queue.isEmpty();
  }

  /** Runs a task once all bytes are written, at once if they are. */
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
    if (!queue.isEmpty()) {
      scheduleFlush();
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
      queue.clear();
      failed.accept(cause);
    }
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.beforeWait(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    if (writing || broken || queue.isEmpty()) {
      return;
    }
    ByteBuffer[] batch = new ByteBuffer[Math.min(MAX_BATCH_BUFFERS, queue.size())];
    writingBytes = 0;
    for (int i = 0; i < batch.length; i++) {
      batch[i] = queue.poll();
      writingBytes += batch[i].remaining();
    }
    writing = true;
    endPoint.write(this, batch);
  }
}
