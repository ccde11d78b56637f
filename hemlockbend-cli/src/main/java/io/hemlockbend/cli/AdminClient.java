package io.hemlockbend.cli;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.NodeAddress;
import java.io.PrintWriter;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.channels.UnresolvedAddressException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * Sends commands to nodes. A command goes to the next node when one did not get it; one that may
 * have been done is sent again only when it is idempotent.
 */
final class AdminClient implements AutoCloseable {
  private static final int MAX_ANSWER_BYTES = 32 << 20;
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long TRY_TIMEOUT_MILLIS = 10_000;
  private static final long PAUSE_MILLIS = 200;
  private static final Set<ProblemKey> WORTH_ANOTHER_TRY =
      Set.of(ProblemKey.UNKNOWN, ProblemKey.INTERNAL, ProblemKey.PLATFORM_AWAY);

  private final HttpClient http;
  private final JsonCodec codec = new JsonCodec();
  private final List<NodeAddress> nodes;
  private final Token token;
  private final long endNanos;
  private final PrintWriter progress;
  private int next;

  private AdminClient(
      HttpClient http,
      List<NodeAddress> nodes,
      Token token,
      long timeoutMillis,
      PrintWriter progress) {
    this.progress = progress;
    this.http = http;
    this.nodes = List.copyOf(nodes);
    this.token = token;
    this.endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /** Starts a client that gives up when the time is over. */
  static AdminClient start(
      List<NodeAddress> nodes, Token token, long timeoutMillis, PrintWriter progress) {
    HttpClient http = new HttpClient();
    http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    LifeCycle.start(http);
    return new AdminClient(http, nodes, token, timeoutMillis, progress);
  }

  /** Asks; may be sent to several nodes. */
  <T> T get(String path, Class<T> type) {
    return tryNodes(HttpMethod.GET, path, resent -> null, type, true);
  }

  /** Asks every node and returns the answers of those that answered, at least one. */
  <T> List<T> getFromAll(String path, Class<T> type) {
    List<T> answers = new ArrayList<>();
    ClientException last = null;
    for (NodeAddress node : nodes) {
      try {
        answers.add(
            new AdminClient(http, List.of(node), token, leftMillis(), progress).get(path, type));
      } catch (ClientException e) {
        last = e;
      }
    }
    if (answers.isEmpty()) {
      throw last;
    }
    return answers;
  }

  /** Sends a command that is not idempotent. */
  <T> T post(String path, Object body, Class<T> type) {
    return tryNodes(HttpMethod.POST, path, resent -> body, type, false);
  }

  /**
   * Sends an idempotent command until its outcome is known or the time is over.
   *
   * @param body makes the body; takes whether the command may have been sent before
   */
  <T> T postIdempotent(String path, Function<Boolean, Object> body, Class<T> type) {
    boolean resent = false;
    String told = "";
    while (true) {
      boolean again = resent;
      try {
        return tryNodes(HttpMethod.POST, path, sent -> body.apply(sent || again), type, true);
      } catch (ClientException e) {
        if (!settles(e, resent) || !pause()) {
          throw resent && e.problem().isEmpty() ? ClientException.unknown(e) : e;
        }
        if (!told.equals(e.getMessage())) {
          told = e.getMessage();
          progress.println("not settled yet, trying again: " + told);
          progress.flush();
        }
        next = (next + 1) % nodes.size();
        resent = true;
      }
    }
  }

  /** Returns whether another try may tell more. */
  private static boolean settles(ClientException failure, boolean resent) {
    return failure
        .problem()
        .map(problem -> WORTH_ANOTHER_TRY.contains(problem.problem()))
        .orElse(failure.exitCode() == ExitCodes.UNKNOWN || resent);
  }

  /** Waits a little; false when the time is over. */
  boolean pause() {
    if (leftMillis() <= PAUSE_MILLIS) {
      return false;
    }
    try {
      Thread.sleep(PAUSE_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private <T> T tryNodes(
      HttpMethod method,
      String path,
      Function<Boolean, Object> body,
      Class<T> type,
      boolean idempotent) {
    boolean maySent = false;
    Throwable last = null;
    for (int tries = 0; tries < nodes.size(); tries++) {
      NodeAddress node = nodes.get(next);
      try {
        return decode(send(method, node, path, body.apply(maySent)), type);
      } catch (ExecutionException | TimeoutException | CodecException e) {
        last = e instanceof ExecutionException ? e.getCause() : e;
        next = (next + 1) % nodes.size();
        maySent |= !neverSent(last);
        if (maySent && !idempotent) {
          throw ClientException.unknown(last);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw ClientException.unknown(e);
      }
    }
    throw maySent && method == HttpMethod.POST
        ? ClientException.unknown(last)
        : ClientException.unreachable(last);
  }

  private static boolean neverSent(Throwable failure) {
    return failure instanceof ConnectException
        || failure instanceof SocketTimeoutException
        || failure instanceof UnresolvedAddressException;
  }

  private ContentResponse send(HttpMethod method, NodeAddress node, String path, Object body)
      throws InterruptedException, TimeoutException, ExecutionException {
    long timeoutMillis = Math.max(1, Math.min(TRY_TIMEOUT_MILLIS, leftMillis()));
    Request request =
        http.newRequest("http://" + node + path)
            .method(method)
            .headers(fields -> fields.put(HttpHeader.AUTHORIZATION, "Bearer " + token.secret()))
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(new BytesRequestContent("application/json", codec.encode(body)));
    }
    return new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
  }

  private <T> T decode(ContentResponse response, Class<T> type) {
    if (response.getStatus() == HttpStatus.OK_200) {
      return codec.decode(response.getContent(), type);
    }
    throw ClientException.told(codec.decode(response.getContent(), Problem.class));
  }

  private long leftMillis() {
    return TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
  }

  @Override
  public void close() {
    LifeCycle.stop(http);
  }
}
