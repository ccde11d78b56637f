package io.hemlockbend.node;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.drain.DrainState;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.AnswerWriter;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;

/**
 * Hands each request to the handler of its listener and counts the requests in flight, so that a
 * graceful stop can wait for them.
 */
final class ListenerHandler extends Handler.Abstract.NonBlocking {
  private final Map<Connector, Handler> handlers;
  private final DrainTracker drain;

  /**
   * Makes the handler.
   *
   * @param handlers the handler of each listener
   * @param drain counts the requests in flight
   */
  ListenerHandler(Map<Connector, Handler> handlers, DrainTracker drain) {
    this.handlers = Map.copyOf(handlers);
    this.drain = drain;
    handlers.values().forEach(this::addBean);
  }

  @Override
  public void setServer(Server server) {
    super.setServer(server);
    handlers.values().forEach(handler -> handler.setServer(server));
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (!begin()) {
      refuse(response, callback);
      return true;
    }
    Handler handler = handlers.get(request.getConnectionMetaData().getConnector());
    boolean handled = handler.handle(request, response, Callback.from(callback, this::end));
    if (!handled) {
      end();
    }
    return handled;
  }

  private static void refuse(Response response, Callback callback) {
    HttpFields.Mutable fields = response.getHeaders();
    fields.put(HttpHeader.CONNECTION, "close");
    Answer refused = new Answer.Ended(new AttemptEnd.Refused(RefusalReason.DRAINING));
    AnswerWriter.write(refused, response, callback);
  }

  /** Takes no new request from now on. */
  void drain(long nowMillis) {
    synchronized (drain) {
      drain.drain(nowMillis);
    }
  }

  /** Returns how far the drain is. */
  DrainState drainState(long nowMillis) {
    synchronized (drain) {
      return drain.state(nowMillis);
    }
  }

  private boolean begin() {
    synchronized (drain) {
      return drain.begin();
    }
  }

  private void end() {
    synchronized (drain) {
      drain.end();
    }
  }
}
