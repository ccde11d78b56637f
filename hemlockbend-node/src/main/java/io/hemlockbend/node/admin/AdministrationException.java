package io.hemlockbend.node.admin;

import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;

/** Tells why a command was not done, or may not have been. */
public final class AdministrationException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /**
   * Makes the error.
   *
   * @param problem what the operator is told
   */
  public AdministrationException(Problem problem) {
    this(problem, null);
  }

  /**
   * Makes the error.
   *
   * @param problem what the operator is told
   * @param cause the error from below, or null
   */
  public AdministrationException(Problem problem, Throwable cause) {
    super(problem.message(), cause);
    this.problem = problem;
  }

  static AdministrationException of(ProblemKey key, String message) {
    return new AdministrationException(Problem.of(key, message));
  }

  /** Returns what the operator is told. */
  public Problem problem() {
    return problem;
  }
}
