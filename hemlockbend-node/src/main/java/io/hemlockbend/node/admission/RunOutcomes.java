package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.node.forward.Answer;
import org.eclipse.jetty.http.HttpStatus;

/** Derives the outcome of a run on the upstream from its answer. */
final class RunOutcomes {

  private RunOutcomes() {}

  static RunOutcome of(Answer answer) {
    return switch (answer) {
      case Answer.Buffered buffered when buffered.overloaded() -> RunOutcome.OVERLOADED;
      case Answer.Buffered buffered -> ofStatus(buffered.status());
      case Answer.Streamed streamed -> ofStatus(streamed.status());
      case Answer.Failed(AttemptEnd end) -> ofEnd(end);
      case Answer.NodeError error -> RunOutcome.NOT_SENT;
    };
  }

  private static RunOutcome ofStatus(int status) {
    return HttpStatus.isServerError(status) ? RunOutcome.FAILED : RunOutcome.ANSWERED;
  }

  private static RunOutcome ofEnd(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Broken _, AttemptEnd.Truncated _ -> RunOutcome.BROKEN;
      case AttemptEnd.TimedOut _ -> RunOutcome.TIMED_OUT;
      case AttemptEnd.Overloaded _ -> RunOutcome.OVERLOADED;
      case AttemptEnd.Refused _,
          AttemptEnd.NotClaimed _,
          AttemptEnd.Duplicate _,
          AttemptEnd.KeyReused _,
          AttemptEnd.NoUpstream _,
          AttemptEnd.NotConnected _ ->
          RunOutcome.NOT_SENT;
    };
  }
}
