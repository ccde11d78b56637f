package io.hemlockbend.node.admin;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.eclipse.jetty.http.HttpMethod;

/**
 * A command of the administration API.
 *
 * @param name the last segment of its path; also its name in the audit trail
 * @param method the HTTP method that its path accepts
 * @param mutating whether it changes state and so requires {@link Role#OPERATOR}
 * @param action executes it
 */
record Command(
    String name,
    HttpMethod method,
    boolean mutating,
    BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> action) {

  /** Runs the command; an exception from decoding its input fails the future. */
  CompletableFuture<Object> run(Operator operator, CommandInput input) {
    return CompletableFuture.completedFuture(input)
        .thenCompose(in -> action.apply(operator, in))
        .thenApply(result -> (Object) result);
  }
}
