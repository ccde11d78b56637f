package io.hemlockbend.node.forward;

import io.hemlockbend.core.retry.OutcomeWord;
import io.hemlockbend.core.routing.RefusalReason;
import org.eclipse.jetty.http.HttpStatus;

/** The answers of an entry that refuses a request by itself; none of them has run. */
public final class ErrorAnswers {

  private ErrorAnswers() {}

  /**
   * Returns the answer for a refusal.
   *
   * @param reason why the entry refuses
   */
  public static Answer.Told refused(RefusalReason reason) {
    int status =
        switch (reason) {
          case NO_ROUTE -> HttpStatus.NOT_FOUND_404;
          case BAD_REQUEST -> HttpStatus.BAD_REQUEST_400;
          case NOT_READY, NO_UPSTREAM, EXHAUSTED, QUARANTINED, DEADLINE ->
              HttpStatus.SERVICE_UNAVAILABLE_503;
        };
    return new Answer.Told(OutcomeWord.NOT_RUN, status, reason.text());
  }
}
