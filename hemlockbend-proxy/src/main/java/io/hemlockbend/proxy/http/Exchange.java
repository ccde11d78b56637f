package io.hemlockbend.proxy.http;

/** A caller's request and its answer. */
public final class Exchange {
  private final HttpServerConnection connection;
  private final HttpRequest request;
  private final long receivedMillis;
  private final long heldBytes;
  private Runnable abandonedListener;
  private HttpReply reply;
  private boolean abandoned;

  Exchange(
      HttpServerConnection connection, HttpRequest request, long receivedMillis, long heldBytes) {
    this.connection = connection;
    this.request = request;
    this.receivedMillis = receivedMillis;
    this.heldBytes = heldBytes;
  }

  /** Returns the request. */
  public HttpRequest request() {
    return request;
  }

  /** Returns when the headers were complete, in milliseconds of the event loop's clock. */
  public long receivedMillis() {
    return receivedMillis;
  }

  /** Answers the request; ignored if it was answered or abandoned before. */
  public void respond(HttpReply answer) {
    if (reply == null && !abandoned) {
      reply = answer;
      connection.sendReadyReplies();
    }
  }

  /** Returns whether the request was answered. */
  public boolean answered() {
    return reply != null;
  }

  /** Sets the task to run if the caller disconnects before the answer. */
  public void onAbandoned(Runnable listener) {
    abandonedListener = listener;
  }

  /** Returns the counted bytes of the request's body, which are released with the answer. */
  long heldBytes() {
    return heldBytes;
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
