package io.hemlockbend.proxy.mesh;

import io.hemlockbend.proxy.http.HttpServerConnection;
import io.hemlockbend.proxy.loop.EventLoop;
import java.util.List;
import java.util.Set;

/**
 * The graceful stop of a node. Callers notice within about two seconds that the node is not ready;
 * until then it serves them as usual and ends each connection behind its next answer. Then it
 * closes what is idle and waits for the rest. Callers may keep coming all the while, when too few
 * other nodes are there; a request that might not end before the grace does is refused at once.
 */
final class Departure {
  private static final long CALLERS_NOTICE_MILLIS = 2_600;

  /** Within what time a caller's first request follows its connection. */
  private static final long FIRST_REQUEST_MILLIS = 200;

  private static final long CHECK_MILLIS = 50;

  /** How long after its deadline a request's answer is on its way out at most. */
  private static final long LAST_ANSWERS_MILLIS = 300;

  private static final long MARGIN_MILLIS = 500;

  private final EventLoop loop;
  private final MeshNode node;
  private final Set<HttpServerConnection> callers;
  private final long graceMillis;
  private final Runnable stopped;
  private long beganMillis;

  Departure(
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
    beganMillis = loop.millis();
    node.entry().endBy(beganMillis + graceMillis - MARGIN_MILLIS - LAST_ANSWERS_MILLIS);
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

  /** Ends the node, unless a request came on an open connection meanwhile. */
  private void finish() {
    if (node.busy() && !graceOver()) {
      loop.after(CHECK_MILLIS, this::check);
      return;
    }
    List.copyOf(callers).forEach(caller -> caller.end(null));
    stopped.run();
  }

  private boolean graceOver() {
    return loop.millis() - beganMillis >= graceMillis - MARGIN_MILLIS;
  }
}
