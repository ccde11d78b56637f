package io.hemlockbend.node.admin;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.eclipse.jetty.http.HttpMethod;

/**
 * A command of the API.
 *
 * @param name its name, as in its path and in the audit
 * @param method the method that its path takes
 * @param changes whether it needs the role of an operator
 * @param body carries it out
 */
record Command(
    String name,
    HttpMethod method,
    boolean changes,
    BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> body) {

  /** Carries the command out; errors of reading the input fail the future. */
  CompletableFuture<Object> run(Operator operator, CommandInput input) {
    return CompletableFuture.completedFuture(input)
        .thenCompose(in -> body.apply(operator, in))
        .thenApply(answer -> (Object) answer);
  }
}
