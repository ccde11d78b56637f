package io.hemlockbend.proxy.http;

/** A caller's request and the place of its answer. */
public final class Exchange {
  private final HttpServerConnection connection;
  private final HttpRequest request;
  private final long receivedMillis;
  private Runnable abandonedListener;
  private HttpReply reply;
  private boolean abandoned;

  Exchange(HttpServerConnection connection, HttpRequest request, long receivedMillis) {
    this.connection = connection;
    this.request = request;
    this.receivedMillis = receivedMillis;
  }

  /** Returns the request. */
  public HttpRequest request() {
    return request;
  }

  /** Returns when its headers were complete, in the event loop's milliseconds. */
  public long receivedMillis() {
    return receivedMillis;
  }

  /** Answers the request; further answers are ignored. */
  public void respond(HttpReply answer) {
    if (reply == null && !abandoned) {
      reply = answer;
      connection.replied();
    }
  }

  /** Returns whether it was answered. */
  public boolean answered() {
    return reply != null;
  }

  /** Runs a task when the caller leaves before the answer. */
  public void onAbandoned(Runnable listener) {
    abandonedListener = listener;
  }

  HttpReply reply() {
    return reply;
  }

  void abandon() {
    if (abandoned) {
      return;
    }
    abandoned = true;
    if (reply == null && abandonedListener != null) {
      abandonedListener.run();
    }
  }
}
