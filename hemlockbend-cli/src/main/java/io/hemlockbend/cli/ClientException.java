package io.hemlockbend.cli;

import io.hemlockbend.core.administration.Problem;
import java.util.Optional;

/** Thrown when a command has no response to print. */
public final class ClientException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int exitCode;
  private final transient Optional<Problem> problem;

  private ClientException(int exitCode, String message, Problem problem, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
    this.problem = Optional.ofNullable(problem);
  }

  /** Returns the exception for a problem that a node reported. */
  static ClientException reported(Problem problem) {
    int code =
        switch (problem.problem()) {
          case UNKNOWN, INTERNAL -> ExitCodes.UNKNOWN;
          case PLATFORM_AWAY -> ExitCodes.UNREACHABLE;
          default -> ExitCodes.REFUSED;
        };
    return new ClientException(code, problem.message(), problem, null);
  }

  /** Returns the exception for a request that reached no node. */
  static ClientException unreachable(Throwable cause) {
    String message = "no node could be reached: " + cause.getMessage();
    return new ClientException(ExitCodes.UNREACHABLE, message, null, cause);
  }

  /** Returns the exception for a request whose response was lost. */
  static ClientException unknown(Throwable cause) {
    String message = "the answer was lost, the command may have been executed: " + cause;
    return new ClientException(ExitCodes.UNKNOWN, message, null, cause);
  }

  /** Returns the exit code of the process. */
  public int exitCode() {
    return exitCode;
  }

  /** Returns the problem that a node reported, or empty. */
  public Optional<Problem> problem() {
    return problem;
  }
}
