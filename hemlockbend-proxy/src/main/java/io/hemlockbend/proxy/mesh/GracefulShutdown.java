package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.http.HttpServerConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import java.util.List;
import java.util.Set;

/**
 * Graceful shutdown of a node. Callers detect within about two seconds that the node is not ready;
 * until then it serves them as usual and closes each connection after its last pending response.
 * Then it closes idle connections and waits for the requests in flight. Callers may keep sending
 * requests if too few other nodes are ready; a request whose deadline is after the grace period is
 * refused at once.
 */
final class GracefulShutdown {
  private static final long CALLERS_NOTICE_MILLIS = 2_600;

  /** How long a new connection may wait for its first request before it counts as idle. */
  private static final long FIRST_REQUEST_MILLIS = 200;

  private static final long CHECK_MILLIS = 50;

  /** Upper bound of the time from a request's deadline until its response is sent. */
  private static final long RESPONSE_DELAY_MILLIS = 300;

  private static final long MARGIN_MILLIS = 500;

  private final EventLoop loop;
  private final MeshNode node;
  private final Set<HttpServerConnection> callers;
  private final long graceMillis;
  private final Runnable stopped;
  private long startMillis;

  GracefulShutdown(
      EventLoop loop,
      MeshNode node,
      Set<HttpServerConnection> callers,
      long graceMillis,
      Runnable stopped) {
    this.loop = loop;
    this.node = node;
    this.callers = callers;
    this.graceMillis = graceMillis;
    this.stopped = stopped;
  }

  void begin() {
    startMillis = loop.millis();
    long lastDeadlineMillis = startMillis + graceMillis - MARGIN_MILLIS - RESPONSE_DELAY_MILLIS;
    node.entry().shutdownAt(lastDeadlineMillis);
    node.upstream().shutdownAt(lastDeadlineMillis);
    loop.after(CALLERS_NOTICE_MILLIS, this::check);
  }

  private void check() {
    List.copyOf(callers).forEach(caller -> caller.closeIfIdle(FIRST_REQUEST_MILLIS));
    if (!node.busy() || graceOver()) {
      loop.stopListening();
      loop.after(CHECK_MILLIS, this::finish);
    } else {
      loop.after(CHECK_MILLIS, this::check);
    }
  }

  /** Stops the node, unless a request has arrived on an open connection in the meantime. */
  private void finish() {
    if (node.busy() && !graceOver()) {
      loop.after(CHECK_MILLIS, this::check);
      return;
    }
    List.copyOf(callers).forEach(caller -> caller.end(null));
    stopped.run();
  }

  private boolean graceOver() {
    return loop.millis() - startMillis >= graceMillis - MARGIN_MILLIS;
  }
}
