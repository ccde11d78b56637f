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

/** Asks the upstream for its health; one question at a time. */
final class HealthProbe {
  private static final byte[] NO_BODY = new byte[0];

  /** As long as a connection may take; an upstream that takes longer is of no use. */
  private static final long TIMEOUT_MILLIS = 1_000;

  /**
   * What the upstream said.
   *
   * @param healthy whether it takes work
   * @param upstreamId the id that it gave, or null
   * @param coldMillis how long it stays cold; 0 when it is warm, -1 when it did not say
   */
  record Health(boolean healthy, String upstreamId, long coldMillis) {
    static final Health SILENT = new Health(false, null, -1);
  }

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final FieldNames names;
  private boolean asking;

  HealthProbe(EventLoop loop, UpstreamPool pool, FieldNames names) {
    this.loop = loop;
    this.pool = pool;
    this.names = names;
  }

  /** Asks once, unless a question is open; one without an answer in time is given up. */
  void ask(String path, String host, Consumer<Health> listener) {
    if (asking) {
      return;
    }
    asking = true;
    HttpRequest request =
        new HttpRequest("GET", path, List.of(new HttpField("Host", host)), NO_BODY);
    Question question = new Question(listener);
    question.call = pool.call(request, 0, question);
    question.timeout = loop.after(TIMEOUT_MILLIS, question::giveUp);
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

  private final class Question implements UpstreamPool.Listener {
    private final Consumer<Health> listener;
    private UpstreamPool.Call call;
    private Timer timeout;

    Question(Consumer<Health> listener) {
      this.listener = listener;
    }

    @Override
    public void answered(HttpReply reply) {
      done(health(reply));
    }

    @Override
    public void notSent(String reason) {
      done(Health.SILENT);
    }

    @Override
    public void lost(String reason) {
      done(Health.SILENT);
    }

    private void giveUp() {
      call.cancel();
      done(Health.SILENT);
    }

    private void done(Health health) {
      timeout.cancel();
      asking = false;
      listener.accept(health);
    }
  }
}
