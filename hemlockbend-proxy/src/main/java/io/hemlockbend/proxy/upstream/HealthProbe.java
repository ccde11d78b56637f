package io.hemlockbend.proxy.upstream;

import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.http.HttpRequest;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

/** Asks the upstream for its health; one question at a time. */
final class HealthProbe {
  private static final byte[] NO_BODY = new byte[0];

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

  private final UpstreamPool pool;
  private final FieldNames names;
  private boolean asking;

  HealthProbe(UpstreamPool pool, FieldNames names) {
    this.pool = pool;
    this.names = names;
  }

  /** Asks once, unless a question is open. */
  void ask(String path, String host, Consumer<Health> listener) {
    if (asking) {
      return;
    }
    asking = true;
    HttpRequest request =
        new HttpRequest("GET", path, List.of(new HttpField("Host", host)), NO_BODY);
    pool.call(
        request,
        0,
        new UpstreamPool.Listener() {
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

          private void done(Health health) {
            asking = false;
            listener.accept(health);
          }
        });
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
}
