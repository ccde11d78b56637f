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
 * Sends commands to nodes. A command that did not reach a node is sent to the next one; a command
 * that may have been executed is sent again only when it is idempotent.
 */
final class AdminClient implements AutoCloseable {
  private static final int MAX_RESPONSE_BYTES = 32 << 20;
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 10_000;
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final Set<ProblemKey> RETRYABLE =
      Set.of(ProblemKey.UNKNOWN, ProblemKey.INTERNAL, ProblemKey.PLATFORM_AWAY);

  private final HttpClient http;
  private final JsonCodec codec = new JsonCodec();
  private final List<NodeAddress> nodes;
  private final Token token;
  private final long deadlineNanos;
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
    this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  /** Starts a client that stops retrying when the time-out has passed. */
  static AdminClient start(
      List<NodeAddress> nodes, Token token, long timeoutMillis, PrintWriter progress) {
    HttpClient http = new HttpClient();
    http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    LifeCycle.start(http);
    return new AdminClient(http, nodes, token, timeoutMillis, progress);
  }

  /** Sends a query, to further nodes when one does not answer. */
  <T> T get(String path, Class<T> type) {
    return tryNodes(HttpMethod.GET, path, resent -> null, type, true);
  }

  /** Queries every node and returns the responses received; throws when there is none. */
  <T> List<T> getFromAll(String path, Class<T> type) {
    List<T> responses = new ArrayList<>();
    ClientException last = null;
    for (NodeAddress node : nodes) {
      try {
        responses.add(
            new AdminClient(http, List.of(node), token, remainingMillis(), progress)
                .get(path, type));
      } catch (ClientException e) {
        last = e;
      }
    }
    if (responses.isEmpty()) {
      throw last;
    }
    return responses;
  }

  /** Sends a command that is not idempotent. */
  <T> T post(String path, Object body, Class<T> type) {
    return tryNodes(HttpMethod.POST, path, resent -> body, type, false);
  }

  /**
   * Sends an idempotent command until its outcome is known or the time-out has passed.
   *
   * @param body creates the body; its argument is whether the command may have been sent before
   */
  <T> T postIdempotent(String path, Function<Boolean, Object> body, Class<T> type) {
    boolean resent = false;
    String lastMessage = "";
    while (true) {
      boolean again = resent;
      try {
        return tryNodes(HttpMethod.POST, path, sent -> body.apply(sent || again), type, true);
      } catch (ClientException e) {
        if (!shouldRetry(e, resent) || !pause()) {
          throw resent && e.problem().isEmpty() ? ClientException.unknown(e) : e;
        }
        if (!lastMessage.equals(e.getMessage())) {
          lastMessage = e.getMessage();
          progress.println("outcome not known yet, retrying: " + lastMessage);
          progress.flush();
        }
        next = (next + 1) % nodes.size();
        resent = true;
      }
    }
  }

  /** Returns whether another attempt may determine the outcome. */
  private static boolean shouldRetry(ClientException failure, boolean resent) {
    return failure
        .problem()
        .map(problem -> RETRYABLE.contains(problem.problem()))
        .orElse(failure.exitCode() == ExitCodes.UNKNOWN || resent);
  }

  /**
   * Waits before the next attempt; returns false when the time-out has passed or the thread is
   * interrupted.
   */
  boolean pause() {
    if (remainingMillis() <= RETRY_DELAY_MILLIS) {
      return false;
    }
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
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
    boolean mayHaveBeenSent = false;
    Throwable last = null;
    for (int attempts = 0; attempts < nodes.size(); attempts++) {
      NodeAddress node = nodes.get(next);
      try {
        return decode(send(method, node, path, body.apply(mayHaveBeenSent)), type);
      } catch (ExecutionException | TimeoutException | CodecException e) {
        last = e instanceof ExecutionException ? e.getCause() : e;
        next = (next + 1) % nodes.size();
        mayHaveBeenSent |= !neverSent(last);
        if (mayHaveBeenSent && !idempotent) {
          throw ClientException.unknown(last);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw ClientException.unknown(e);
      }
    }
    throw mayHaveBeenSent && method == HttpMethod.POST
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
    long timeoutMillis = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MILLIS, remainingMillis()));
    Request request =
        http.newRequest("http://" + node + path)
            .method(method)
            .headers(fields -> fields.put(HttpHeader.AUTHORIZATION, "Bearer " + token.secret()))
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(new BytesRequestContent("application/json", codec.encode(body)));
    }
    return new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send().get();
  }

  private <T> T decode(ContentResponse response, Class<T> type) {
    if (response.getStatus() == HttpStatus.OK_200) {
      return codec.decode(response.getContent(), type);
    }
    throw ClientException.reported(codec.decode(response.getContent(), Problem.class));
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
  }

  @Override
  public void close() {
    LifeCycle.stop(http);
  }
}
