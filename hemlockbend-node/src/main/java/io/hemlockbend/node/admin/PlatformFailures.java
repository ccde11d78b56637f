package io.hemlockbend.node.admin;

import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Turns failures of the platform into what operators are told. */
final class PlatformFailures {
  private PlatformFailures() {}

  /** A read failed, or a write that took no effect. */
  static <T> CompletableFuture<T> notDone(Throwable failure) {
    return failed(
        failure, ProblemKey.PLATFORM_AWAY, "the platform can't be reached; nothing was done");
  }

  /** A write failed that may have taken effect. */
  static <T> CompletableFuture<T> unknown(Throwable failure) {
    return failed(
        failure,
        ProblemKey.UNKNOWN,
        "the platform's answer was lost; see with diff whether the changes are staged");
  }

  private static <T> CompletableFuture<T> failed(
      Throwable failure, ProblemKey key, String message) {
    Throwable cause = cause(failure);
    return CompletableFuture.failedFuture(
        cause instanceof AdministrationException
            ? cause
            : new AdministrationException(Problem.of(key, message), cause));
  }

  /** Returns the failure that a future wrapped. */
  static Throwable cause(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
