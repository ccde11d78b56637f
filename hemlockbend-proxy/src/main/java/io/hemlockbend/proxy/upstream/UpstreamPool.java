package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.http.HttpClientConnection;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.loop.Timer;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * A pool of connections to one server. The most recently used connection is reused first; one that
 * was idle for longer than the keep-alive time of the server is not reused.
 */
public final class UpstreamPool {
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long DEFAULT_IDLE_MILLIS = 4_000;
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Receives the outcome of a call; exactly one of the methods is called, once. */
  public interface Listener {
    /** The complete answer was received. */
    void answered(HttpReply reply);

    /** No byte of the request was sent. */
    void notSent(String reason);

    /** The request was sent, and no complete answer was received. */
    void lost(String reason);
  }

  /** A call in progress. */
  public final class Call implements HttpClientConnection.Listener {
    private final HttpRequest request;
    private final Listener listener;
    private HttpClientConnection connection;
    private Timer connectTimer;
    private boolean completed;

    private Call(HttpRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }

    /** Cancels the call and closes its connection; the listener is not called any more. */
    public void cancel() {
      completed = true;
      if (connection != null) {
        connection.end(null);
      }
    }

    @Override
    public void answered(HttpReply reply, boolean reusable) {
      if (reusable) {
        returnToPool(connection, reply);
      }
      if (!completed) {
        completed = true;
        listener.answered(reply);
      }
    }

    @Override
    public void failed(String reason) {
      if (!completed) {
        completed = true;
        listener.lost(reason);
      }
    }

    private void start(HttpClientConnection open) {
      if (connectTimer != null) {
        connectTimer.cancel();
      }
      if (completed) {
        open.end(null);
        return;
      }
      connection = open;
      open.send(request, this);
    }

    private void connectFailed(String reason) {
      if (connectTimer != null) {
        connectTimer.cancel();
      }
      if (!completed) {
        completed = true;
        listener.notSent(reason);
      }
    }
  }

  private record Idle(HttpClientConnection connection, long expiresMillis) {}

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final String idField;
  private final PartialMessageBudget<HttpClientConnection> answerBudget;
  private final ArrayDeque<Idle> idle = new ArrayDeque<>();
  private long opened;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop
   * @param address the server's address
   * @param idField the header field that carries the request id
   * @param answerBudget bounds the bytes of all incomplete answers
   */
  public UpstreamPool(
      EventLoop loop,
      InetSocketAddress address,
      String idField,
      PartialMessageBudget<HttpClientConnection> answerBudget) {
    this.loop = loop;
    this.address = address;
    this.idField = idField;
    this.answerBudget = answerBudget;
  }

  /**
   * Sends a request.
   *
   * @param request the request, with all its header fields
   * @param maxIdleMillis the maximum idle time of a connection that is reused
   * @param listener receives the outcome
   */
  public Call call(HttpRequest request, long maxIdleMillis, Listener listener) {
    Call call = new Call(request, listener);
    HttpClientConnection open = takeIdle(maxIdleMillis);
    if (open != null) {
      call.start(open);
    } else {
      connect(call);
    }
    return call;
  }

  /** Returns how many connections were opened so far. */
  public long opened() {
    return opened;
  }

  /** Closes all idle connections. */
  public void closeIdle() {
    while (!idle.isEmpty()) {
      idle.poll().connection().end(null);
    }
  }

  private void connect(Call call) {
    opened++;
    call.connectTimer =
        loop.after(CONNECT_TIMEOUT_MILLIS, () -> call.connectFailed("connect timed out"));
    loop.connect(
        address,
        endPoint -> {
          ConnectionHolder holder = new ConnectionHolder();
          HttpClientConnection connection =
              new HttpClientConnection(
                  endPoint, loop, idField, answerBudget, () -> removeIdle(holder.connection));
          holder.connection = connection;
          loop.execute(() -> call.start(connection));
          return connection;
        },
        cause -> call.connectFailed("connect failed: " + cause.getMessage()));
  }

  private void removeIdle(HttpClientConnection connection) {
    idle.removeIf(candidate -> candidate.connection() == connection);
  }

  private void returnToPool(HttpClientConnection connection, HttpReply reply) {
    idle.push(new Idle(connection, loop.millis() + idleLimitMillis(reply)));
    long nowMillis = loop.millis();
    while (!idle.isEmpty() && idle.peekLast().expiresMillis() < nowMillis) {
      idle.pollLast().connection().end(null);
    }
  }

  private HttpClientConnection takeIdle(long maxIdleMillis) {
    long nowMillis = loop.millis();
    while (!idle.isEmpty()) {
      Idle next = idle.peek();
      boolean fresh = nowMillis - next.connection().idleSinceMillis() <= maxIdleMillis;
      if (!fresh && next.expiresMillis() > nowMillis) {
        return null;
      }
      idle.poll();
      if (next.expiresMillis() > nowMillis && !next.connection().hasEnded()) {
        return next.connection();
      }
      next.connection().end(null);
    }
    return null;
  }

  private static long idleLimitMillis(HttpReply reply) {
    return reply.keepAliveSeconds() > 0
        ? reply.keepAliveSeconds() * MILLIS_PER_SECOND - KEEP_ALIVE_MARGIN_MILLIS
        : DEFAULT_IDLE_MILLIS;
  }

  private static final class ConnectionHolder {
    private HttpClientConnection connection;
  }
}
