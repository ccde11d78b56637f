package io.hemlockbend.proxy.loop;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options of every connection: no delay of small writes, and keep-alive probes that detect a
 * silent link within about three seconds.
 */
final class SocketOptions {
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_COUNT = 2;

  private SocketOptions() {}

  static void apply(SocketChannel channel) throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
    channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_COUNT);
  }
}
