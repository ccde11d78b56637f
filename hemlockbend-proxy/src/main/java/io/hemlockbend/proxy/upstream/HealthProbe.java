package io.hemlockbend.proxy.upstream;

import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.loop.Timer;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

/** Sends health checks to the upstream, at most one at a time. */
final class HealthProbe {
  private static final byte[] NO_BODY = new byte[0];

  /** Equal to the connect timeout; an upstream that answers more slowly counts as unhealthy. */
  private static final long TIMEOUT_MILLIS = 1_000;

  /**
   * The result of a health check.
   *
   * @param healthy whether the upstream accepts work
   * @param upstreamId the id in the answer, or null
   * @param coldMillis how long the upstream stays cold; 0 when it is warm, -1 when not stated
   */
  record Health(boolean healthy, String upstreamId, long coldMillis) {
    static final Health UNREACHABLE = new Health(false, null, -1);
  }

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final FieldNames names;
  private boolean pending;

  HealthProbe(EventLoop loop, UpstreamPool pool, FieldNames names) {
    this.loop = loop;
    this.pool = pool;
    this.names = names;
  }

  /** Sends a health check unless one is pending; a timeout is reported as unreachable. */
  void probe(String path, String host, Consumer<Health> listener) {
    if (pending) {
      return;
    }
    pending = true;
    HttpRequest request =
        new HttpRequest("GET", path, List.of(new HttpField("Host", host)), NO_BODY);
    PendingProbe probe = new PendingProbe(listener);
    probe.call = pool.call(request, 0, probe);
    probe.timeout = loop.after(TIMEOUT_MILLIS, probe::timedOut);
  }

  private Health health(HttpReply reply) {
    long coldMillis = -1;
    String value = reply.field(names.coldMillis());
    if (value != null && value.matches("\\d{1,9}")) {
      coldMillis = Long.parseLong(value);
    } else if (reply.status() == HttpStatus.OK_200) {
      coldMillis = 0;
    }
    return new Health(
        reply.status() == HttpStatus.OK_200, reply.field(names.upstreamId()), coldMillis);
  }

  private final class PendingProbe implements UpstreamPool.Listener {
    private final Consumer<Health> listener;
    private UpstreamPool.Call call;
    private Timer timeout;

    PendingProbe(Consumer<Health> listener) {
      this.listener = listener;
    }

    @Override
    public void answered(HttpReply reply) {
      complete(health(reply));
    }

    @Override
    public void notSent(String reason) {
      complete(Health.UNREACHABLE);
    }

    @Override
    public void lost(String reason) {
      complete(Health.UNREACHABLE);
    }

    private void timedOut() {
      call.cancel();
      complete(Health.UNREACHABLE);
    }

    private void complete(Health health) {
      timeout.cancel();
      pending = false;
      listener.accept(health);
    }
  }
}
