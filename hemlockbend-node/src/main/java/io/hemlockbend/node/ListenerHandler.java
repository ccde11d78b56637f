package io.hemlockbend.node;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.api.Clock;
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
 * Dispatches each request to the handler of its listener and counts the requests in flight, so that
 * a graceful shutdown can wait for them.
 */
final class ListenerHandler extends Handler.Abstract.NonBlocking {
  private final Map<Connector, Handler> handlers;
  private final DrainTracker drain;
  private final Connector mesh;
  private final Clock clock;
  private volatile long lastMeshRequestMillis;

  /**
   * Creates the handler.
   *
   * @param handlers the handler of each listener
   * @param drain counts the requests in flight
   * @param mesh the listener for other nodes' requests
   * @param clock the time source
   */
  ListenerHandler(
      Map<Connector, Handler> handlers, DrainTracker drain, Connector mesh, Clock clock) {
    this.handlers = Map.copyOf(handlers);
    this.drain = drain;
    this.mesh = mesh;
    this.clock = clock;
    handlers.values().forEach(this::addBean);
  }

  @Override
  public void setServer(Server server) {
    super.setServer(server);
    handlers.values().forEach(handler -> handler.setServer(server));
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    Connector listener = request.getConnectionMetaData().getConnector();
    if (listener == mesh) {
      lastMeshRequestMillis = clock.millis();
    }
    if (!begin()) {
      refuse(response, callback);
      return true;
    }
    Handler handler = handlers.get(listener);
    boolean handled = handler.handle(request, response, Callback.from(callback, this::end));
    if (!handled) {
      end();
    }
    return handled;
  }

  private static void refuse(Response response, Callback callback) {
    HttpFields.Mutable fields = response.getHeaders();
    fields.put(HttpHeader.CONNECTION, "close");
    Answer refused = new Answer.Failed(new AttemptEnd.Refused(RefusalReason.DRAINING));
    AnswerWriter.write(refused, response, callback);
  }

  /** Starts the drain; new requests are refused from now on. */
  void drain(long nowMillis) {
    synchronized (drain) {
      drain.drain(nowMillis);
    }
  }

  /** Returns when another node last sent a request, refused ones included. */
  long lastMeshRequestMillis() {
    return lastMeshRequestMillis;
  }

  /** Returns the progress of the drain. */
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
