package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.core.routing.RoutingRefusal;
import org.eclipse.jetty.http.HttpStatus;

/** The errors that a node returns when it refuses a request itself; the request has not run. */
public final class ErrorAnswers {

  private ErrorAnswers() {}

  /**
   * Returns the error for a refusal, with the outcome "not run".
   *
   * @param reason why the node refuses the request
   */
  public static Answer.NodeError refused(RoutingRefusal reason) {
    int status =
        switch (reason) {
          case NO_ROUTE -> HttpStatus.NOT_FOUND_404;
          case BAD_REQUEST -> HttpStatus.BAD_REQUEST_400;
          case NOT_READY, NO_UPSTREAM, EXHAUSTED, QUARANTINED, DEADLINE ->
              HttpStatus.SERVICE_UNAVAILABLE_503;
        };
    return new Answer.NodeError(ReportedOutcome.NOT_RUN, status, reason.reasonToken());
  }
}
