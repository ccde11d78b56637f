package io.hemlockbend.node.admin;

import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Converts failures of the platform to errors for operators. */
final class PlatformFailures {
  private PlatformFailures() {}

  /** Returns the error of a failed read, or of a write that was not applied. */
  static <T> CompletableFuture<T> notApplied(Throwable failure) {
    return failed(failure, ProblemKey.PLATFORM_AWAY, "platform unreachable; nothing was changed");
  }

  /** Returns the error of a failed write that may have been applied. */
  static <T> CompletableFuture<T> outcomeUnknown(Throwable failure) {
    return failed(
        failure,
        ProblemKey.UNKNOWN,
        "the platform's response was lost; run diff to see whether the changes are staged");
  }

  private static <T> CompletableFuture<T> failed(
      Throwable failure, ProblemKey key, String message) {
    Throwable cause = cause(failure);
    return CompletableFuture.failedFuture(
        cause instanceof AdministrationException
            ? cause
            : new AdministrationException(Problem.of(key, message), cause));
  }

  /** Returns the failure inside the exceptions that futures wrap it in. */
  static Throwable cause(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
