package io.hemlockbend.node.admin;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.platform.TableService;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.Promise;

/**
 * Serves the administration API under {@code /v1/}. Each request is authenticated first, then its
 * body is read within bounds of size and time, then the command is carried out and entered in the
 * audit. Paths outside {@code /v1/} are left to other handlers.
 */
public final class AdministrationHandler extends Handler.Abstract.NonBlocking {
  /** The largest body that is read. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** How long a body may take by default. */
  public static final long BODY_TIMEOUT_MILLIS = 5_000;

  /** The attribute of a request that holds its body once that was read whole. */
  private static final String BODY_READ = AdministrationHandler.class.getName() + ".body";

  private static final Logger LOGGER = LogManager.getLogger(AdministrationHandler.class);
  private static final String JSON = "application/json";

  private final TokenAuthenticator authenticator;
  private final CommandTable commands;
  private final AuditTrail audit;
  private final JsonCodec codec;
  private final long bodyTimeoutMillis;

  /**
   * Makes a handler.
   *
   * @param service carries the commands out
   * @param authenticator knows the operators
   * @param table takes the audit
   * @param node this node, which tells its audit entries apart
   * @param clock tells the time
   * @param codec reads and writes bodies
   * @param bodyTimeoutMillis how long a body may take
   */
  public AdministrationHandler(
      AdministrationService service,
      TokenAuthenticator authenticator,
      TableService table,
      NodeId node,
      Clock clock,
      JsonCodec codec,
      long bodyTimeoutMillis) {
    this.authenticator = authenticator;
    this.commands = new CommandTable(service, codec);
    this.audit = new AuditTrail(table, node, clock);
    this.codec = codec;
    this.bodyTimeoutMillis = bodyTimeoutMillis;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    if (!path.startsWith(AdminPaths.PREFIX)) {
      return false;
    }
    commands
        .find(path)
        .map(command -> answer(command, request))
        .orElseGet(() -> failed(ProblemKey.NOT_FOUND, "there is no command at this path"))
        .handle(
            (answer, failure) -> {
              write(request, response, callback, answer, failure);
              return null;
            });
    return true;
  }

  private CompletableFuture<Object> answer(Command command, Request request) {
    Optional<Operator> operator =
        authenticator.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    if (operator.isEmpty()) {
      audit.enterAnonymous(command.name());
      return failed(ProblemKey.UNAUTHENTICATED, "a valid bearer token is needed");
    }
    return run(command, operator.get(), request)
        .handle((answer, failure) -> audited(command, operator.get(), answer, failure))
        .thenCompose(result -> result);
  }

  private CompletableFuture<Object> run(Command command, Operator operator, Request request) {
    if (!command.method().is(request.getMethod())) {
      return failed(
          ProblemKey.METHOD_NOT_ALLOWED, command.name() + " takes " + command.method() + " only");
    }
    if (command.changes() && operator.role() != Role.OPERATOR) {
      return failed(ProblemKey.FORBIDDEN, "the token's role is reader");
    }
    return body(request)
        .thenCompose(body -> command.run(operator, new CommandInput(body, query(request))));
  }

  private static Fields query(Request request) {
    try {
      return Request.extractQueryParameters(request, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException | HttpException.RuntimeException e) {
      throw AdministrationException.of(ProblemKey.MALFORMED, "the query is malformed");
    }
  }

  private CompletableFuture<byte[]> body(Request request) {
    if (request.getLength() > MAX_BODY_BYTES) {
      return failed(ProblemKey.TOO_LARGE, "a body may have at most " + MAX_BODY_BYTES + " bytes");
    }
    CompletableFuture<byte[]> whole = new CompletableFuture<>();
    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES, Promise.Invocable.toPromise(whole));
    return whole
        .whenComplete((bytes, failure) -> request.setAttribute(BODY_READ, bytes))
        .orTimeout(bodyTimeoutMillis, TimeUnit.MILLISECONDS)
        .exceptionallyCompose(failure -> unreadable(request, PlatformFailures.cause(failure)));
  }

  private CompletableFuture<byte[]> unreadable(Request request, Throwable failure) {
    request.fail(failure);
    return failure instanceof TimeoutException
        ? failed(ProblemKey.TIMEOUT, "the body took over " + bodyTimeoutMillis + " ms")
        : failed(
            ProblemKey.TOO_LARGE, "the body broke off or has over " + MAX_BODY_BYTES + " bytes");
  }

  private static <T> CompletableFuture<T> failed(ProblemKey key, String message) {
    return CompletableFuture.failedFuture(AdministrationException.of(key, message));
  }

  private CompletableFuture<Object> audited(
      Command command, Operator operator, Object answer, Throwable failure) {
    String outcome = failure == null ? "OK" : problem(failure).problem().name();
    CompletableFuture<Object> result =
        failure == null
            ? CompletableFuture.completedFuture(answer)
            : CompletableFuture.failedFuture(failure);
    if (!command.changes()) {
      audit.enterAsk(operator, command.name(), outcome);
      return result;
    }
    return audit.enter(operator, command.name(), outcome).thenCompose(done -> result);
  }

  private static Problem problem(Throwable failure) {
    Throwable cause = PlatformFailures.cause(failure);
    return switch (cause) {
      case AdministrationException known -> known.problem();
      case CodecException malformed -> Problem.of(ProblemKey.MALFORMED, malformed.getMessage());
      default -> {
        LOGGER.error("an administration command failed", cause);
        yield Problem.of(ProblemKey.INTERNAL, "the node met an error of its own; see its log");
      }
    };
  }

  private void write(
      Request request, Response response, Callback callback, Object answer, Throwable failure) {
    Object body = answer;
    int status = HttpStatus.OK_200;
    if (failure != null) {
      Problem problem = problem(failure);
      body = problem;
      status = problem.problem().status();
      if (problem.problem() == ProblemKey.UNAUTHENTICATED) {
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
      }
    }
    closeBehindUnreadBody(request, response);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
    response.write(true, ByteBuffer.wrap(codec.encode(body)), callback);
  }

  /**
   * Tells the caller that its connection ends. Jetty ends one whose request was not read whole; a
   * caller that was not told would lose its next request there.
   */
  private static void closeBehindUnreadBody(Request request, Response response) {
    boolean body =
        request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (body && request.getAttribute(BODY_READ) == null) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
