package io.hemlockbend.node.admission;

import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Runs requests that may not be repeated under a claim, so that each runs at most once. */
@FunctionalInterface
public interface ClaimRunner {
  /**
   * Runs a request, or says why it does not.
   *
   * @param call the request
   * @param run sends it to the upstream; called at most once
   * @return the answer; never fails
   */
  CompletableFuture<Answer> run(Call call, Supplier<CompletableFuture<Answer>> run);
}
