package io.hemlockbend.node.forward;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.claim.ClaimRefusal;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.core.retry.ResponseHeaders;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Encodes how an attempt ended as status, outcome and reason, and decodes it at the entry. */
final class AttemptEndCodec {
  private static final String NOT_CONNECTED = "not-connected";
  private static final String NO_UPSTREAM = "no-upstream";
  private static final String BROKEN = "connection-broken";
  private static final String BROKEN_ALONE = "connection-broken-alone";
  private static final String OVERLOADED = "upstream-overloaded";
  private static final String TIMED_OUT = "timed-out";
  private static final String TRUNCATED = "answer-truncated";
  private static final String DUPLICATE = "duplicate";
  private static final String KEY_REUSED = "key-reused";
  private static final Map<String, RefusalReason> REASONS =
      byToken(RefusalReason.values(), RefusalReason::reasonToken);
  private static final Map<String, ClaimRefusal> CLAIM_REASONS =
      byToken(ClaimRefusal.values(), ClaimRefusal::reasonToken);
  private static final Map<String, ReportedOutcome> OUTCOMES =
      byToken(ReportedOutcome.values(), ReportedOutcome::outcomeToken);

  private AttemptEndCodec() {}

  /** Returns the error that a node sends to the entry for this end of an attempt. */
  static Answer.NodeError encode(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Refused(RefusalReason reason) -> notRun(reason.reasonToken());
      case AttemptEnd.NotClaimed(ClaimRefusal reason) -> notRun(reason.reasonToken());
      case AttemptEnd.Duplicate(ReportedOutcome outcome) ->
          new Answer.NodeError(outcome, ResponseHeaders.DUPLICATE_STATUS, DUPLICATE);
      case AttemptEnd.KeyReused _ ->
          new Answer.NodeError(
              ReportedOutcome.NOT_RUN, ResponseHeaders.KEY_REUSED_STATUS, KEY_REUSED);
      case AttemptEnd.NoUpstream _ -> notRun(NO_UPSTREAM);
      case AttemptEnd.NotConnected _ -> notRun(NOT_CONNECTED);
      case AttemptEnd.Broken(boolean alone) ->
          mayHaveRun(ResponseHeaders.BROKEN_STATUS, alone ? BROKEN_ALONE : BROKEN);
      case AttemptEnd.Overloaded _ -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, OVERLOADED);
      case AttemptEnd.TimedOut _ -> mayHaveRun(ResponseHeaders.TIMED_OUT_STATUS, TIMED_OUT);
      case AttemptEnd.Truncated _ -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, TRUNCATED);
    };
  }

  /**
   * Decodes the error of another node; an unknown outcome token counts as "may have run".
   *
   * @param reason the reason, or null if the error has none
   */
  static Answer.Failed decode(String outcomeToken, int status, String reason) {
    ReportedOutcome outcome = OUTCOMES.getOrDefault(outcomeToken, ReportedOutcome.MAY_HAVE_RUN);
    return new Answer.Failed(end(outcome, status, reason));
  }

  private static AttemptEnd end(ReportedOutcome outcome, int status, String reason) {
    return switch (status) {
      case ResponseHeaders.DUPLICATE_STATUS -> new AttemptEnd.Duplicate(outcome);
      case ResponseHeaders.KEY_REUSED_STATUS -> new AttemptEnd.KeyReused();
      case ResponseHeaders.TIMED_OUT_STATUS -> new AttemptEnd.TimedOut();
      default -> outcome == ReportedOutcome.NOT_RUN ? notRunEnd(reason) : brokenEnd(reason);
    };
  }

  private static AttemptEnd brokenEnd(String reason) {
    return OVERLOADED.equals(reason)
        ? new AttemptEnd.Overloaded()
        : new AttemptEnd.Broken(BROKEN_ALONE.equals(reason));
  }

  private static AttemptEnd notRunEnd(String reason) {
    if (reason == null) {
      return new AttemptEnd.NotConnected();
    }
    RefusalReason refusal = REASONS.get(reason);
    if (refusal != null) {
      return new AttemptEnd.Refused(refusal);
    }
    ClaimRefusal claim = CLAIM_REASONS.get(reason);
    return claim == null ? new AttemptEnd.NotConnected() : new AttemptEnd.NotClaimed(claim);
  }

  private static Answer.NodeError notRun(String reason) {
    return new Answer.NodeError(ReportedOutcome.NOT_RUN, ResponseHeaders.NOT_RUN_STATUS, reason);
  }

  private static Answer.NodeError mayHaveRun(int status, String reason) {
    return new Answer.NodeError(ReportedOutcome.MAY_HAVE_RUN, status, reason);
  }

  private static <T> Map<String, T> byToken(T[] values, Function<T, String> token) {
    return Stream.of(values).collect(Collectors.toUnmodifiableMap(token, Function.identity()));
  }
}
