package io.hemlockbend.proxy.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that distinguishes a reset connection from one that was closed. Jetty's own reports
 * the end of input for both, so that a truncated answer without a length would look complete.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
  private static final int END_OF_INPUT = -1;

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return END_OF_INPUT;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled == END_OF_INPUT) {
      shutdownInput();
    }
    return filled;
  }
}
