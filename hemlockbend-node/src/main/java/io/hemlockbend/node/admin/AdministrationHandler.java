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
 * body is read within limits of size and time, then the command is run and recorded in the audit
 * trail. Paths outside {@code /v1/} are left to other handlers.
 */
public final class AdministrationHandler extends Handler.Abstract.NonBlocking {
  /** The maximum size of a request body. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  /** The default time within which a request body must arrive. */
  public static final long BODY_TIMEOUT_MILLIS = 5_000;

  /** The request attribute that is set once the whole body has been read. */
  private static final String BODY_READ = AdministrationHandler.class.getName() + ".body";

  private static final Logger LOGGER = LogManager.getLogger(AdministrationHandler.class);
  private static final String JSON = "application/json";

  private final TokenAuthenticator authenticator;
  private final CommandTable commands;
  private final AuditTrail audit;
  private final JsonCodec codec;
  private final long bodyTimeoutMillis;

  /**
   * Creates a handler.
   *
   * @param service executes the commands
   * @param authenticator authenticates the operators
   * @param table stores the audit trail
   * @param node this node; part of the keys of its audit rows
   * @param clock the source of audit timestamps
   * @param codec decodes request bodies and encodes responses
   * @param bodyTimeoutMillis the time within which a request body must arrive
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
        .map(command -> authenticateAndRun(command, request))
        .orElseGet(() -> failed(ProblemKey.NOT_FOUND, "no command at this path"))
        .handle(
            (result, failure) -> {
              write(request, response, callback, result, failure);
              return null;
            });
    return true;
  }

  private CompletableFuture<Object> authenticateAndRun(Command command, Request request) {
    Optional<Operator> operator =
        authenticator.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    if (operator.isEmpty()) {
      audit.recordAnonymous(command.name());
      return failed(ProblemKey.UNAUTHENTICATED, "a valid bearer token is required");
    }
    return run(command, operator.get(), request)
        .handle((result, failure) -> audited(command, operator.get(), result, failure))
        .thenCompose(audited -> audited);
  }

  private CompletableFuture<Object> run(Command command, Operator operator, Request request) {
    if (!command.method().is(request.getMethod())) {
      return failed(
          ProblemKey.METHOD_NOT_ALLOWED, command.name() + " requires method " + command.method());
    }
    if (command.mutating() && operator.role() != Role.OPERATOR) {
      return failed(
          ProblemKey.FORBIDDEN, "the command requires role operator; the token has role reader");
    }
    return readBody(request)
        .thenCompose(body -> command.run(operator, new CommandInput(body, query(request))));
  }

  private static Fields query(Request request) {
    try {
      return Request.extractQueryParameters(request, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException | HttpException.RuntimeException e) {
      throw AdministrationException.of(ProblemKey.MALFORMED, "malformed query string");
    }
  }

  private CompletableFuture<byte[]> readBody(Request request) {
    if (request.getLength() > MAX_BODY_BYTES) {
      return failed(
          ProblemKey.TOO_LARGE,
          "request body of "
              + request.getLength()
              + " bytes exceeds the limit of "
              + MAX_BODY_BYTES
              + " bytes");
    }
    CompletableFuture<byte[]> bytes = new CompletableFuture<>();
    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES, Promise.Invocable.toPromise(bytes));
    return bytes
        .whenComplete((read, failure) -> request.setAttribute(BODY_READ, read))
        .orTimeout(bodyTimeoutMillis, TimeUnit.MILLISECONDS)
        .exceptionallyCompose(failure -> readFailed(request, PlatformFailures.cause(failure)));
  }

  private CompletableFuture<byte[]> readFailed(Request request, Throwable failure) {
    request.fail(failure);
    return failure instanceof TimeoutException
        ? failed(
            ProblemKey.TIMEOUT, "request body not received within " + bodyTimeoutMillis + " ms")
        : failed(
            ProblemKey.TOO_LARGE,
            "request body is truncated or exceeds the limit of " + MAX_BODY_BYTES + " bytes");
  }

  private static <T> CompletableFuture<T> failed(ProblemKey key, String message) {
    return CompletableFuture.failedFuture(AdministrationException.of(key, message));
  }

  private CompletableFuture<Object> audited(
      Command command, Operator operator, Object result, Throwable failure) {
    String outcome = failure == null ? "OK" : problem(failure).problem().name();
    CompletableFuture<Object> completed =
        failure == null
            ? CompletableFuture.completedFuture(result)
            : CompletableFuture.failedFuture(failure);
    if (!command.mutating()) {
      audit.recordQuery(operator, command.name(), outcome);
      return completed;
    }
    return audit.recordCommand(operator, command.name(), outcome).thenCompose(done -> completed);
  }

  private static Problem problem(Throwable failure) {
    Throwable cause = PlatformFailures.cause(failure);
    return switch (cause) {
      case AdministrationException known -> known.problem();
      case CodecException malformed -> Problem.of(ProblemKey.MALFORMED, malformed.getMessage());
      default -> {
        LOGGER.error("administration command failed", cause);
        yield Problem.of(ProblemKey.INTERNAL, "internal error; see the log of the node");
      }
    };
  }

  private void write(
      Request request, Response response, Callback callback, Object result, Throwable failure) {
    Object body = result;
    int status = HttpStatus.OK_200;
    if (failure != null) {
      Problem problem = problem(failure);
      body = problem;
      status = problem.problem().status();
      if (problem.problem() == ProblemKey.UNAUTHENTICATED) {
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
      }
    }
    closeAfterUnreadBody(request, response);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
    response.write(true, ByteBuffer.wrap(codec.encode(body)), callback);
  }

  /**
   * Adds {@code Connection: close} when the request body was not read completely. Jetty closes such
   * a connection; a client unaware of it would lose the next request it sends there.
   */
  private static void closeAfterUnreadBody(Request request, Response response) {
    boolean hasBody =
        request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (hasBody && request.getAttribute(BODY_READ) == null) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
