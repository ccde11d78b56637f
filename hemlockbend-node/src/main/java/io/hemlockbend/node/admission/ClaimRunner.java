package io.hemlockbend.node.admission;

import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Runs requests with an idempotency key under a claim, so that each runs at most once. */
@FunctionalInterface
public interface ClaimRunner {
  /**
   * Runs a request, or returns the reason why it was not run.
   *
   * @param call the request
   * @param run sends it to the upstream; called at most once
   * @return the answer; never completes exceptionally
   */
  CompletableFuture<Answer> run(Call call, Supplier<CompletableFuture<Answer>> run);
}
