package io.hemlockbend.node.admin;

import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;

/** Reports that a command failed, or that its outcome is unknown. */
public final class AdministrationException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /**
   * Creates the exception.
   *
   * @param problem the error reported to the operator
   */
  public AdministrationException(Problem problem) {
    this(problem, null);
  }

  /**
   * Creates the exception.
   *
   * @param problem the error reported to the operator
   * @param cause the underlying failure, or null
   */
  public AdministrationException(Problem problem, Throwable cause) {
    super(problem.message(), cause);
    this.problem = problem;
  }

  static AdministrationException of(ProblemKey key, String message) {
    return new AdministrationException(Problem.of(key, message));
  }

  /** Returns the error reported to the operator. */
  public Problem problem() {
    return problem;
  }
}
