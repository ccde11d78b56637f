package io.hemlockbend.node.forward;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.OutcomeWord;
import io.hemlockbend.core.retry.ResponseHeaders;
import java.util.HashMap;
import java.util.Map;

/** Writes how a try ended as status, outcome and reason, and reads it back at the entry. */
final class EndWords {
  private static final String NOT_CONNECTED = "not-connected";
  private static final String NO_UPSTREAM = "no-upstream";
  private static final String BROKEN = "connection-broken";
  private static final String TIMED_OUT = "timed-out";
  private static final String TRUNCATED = "answer-truncated";
  private static final Map<String, RefusalReason> REASONS = reasons();
  private static final Map<String, OutcomeWord> WORDS = words();

  private EndWords() {}

  /** Returns what a node tells of a try that ended so. */
  static Answer.Told told(AttemptEnd end) {
    return switch (end) {
      case AttemptEnd.Refused(RefusalReason reason) -> notRun(reason.word());
      case AttemptEnd.NoUpstream none -> notRun(NO_UPSTREAM);
      case AttemptEnd.NotConnected none -> notRun(NOT_CONNECTED);
      case AttemptEnd.Broken broken -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, BROKEN);
      case AttemptEnd.TimedOut late -> mayHaveRun(ResponseHeaders.TIMED_OUT_STATUS, TIMED_OUT);
      case AttemptEnd.Truncated cut -> mayHaveRun(ResponseHeaders.BROKEN_STATUS, TRUNCATED);
    };
  }

  /** Reads what another node told; unknown words count as "may have run". */
  static Answer read(String word, int status, String reason) {
    OutcomeWord outcome = WORDS.getOrDefault(word, OutcomeWord.MAY_HAVE_RUN);
    return switch (outcome) {
      case NOT_RUN -> new Answer.Ended(notRunEnd(reason));
      case MAY_HAVE_RUN -> mayHaveRunEnd(status, reason);
      case IN_PROGRESS, HAS_RUN -> new Answer.Told(outcome, status, reason);
    };
  }

  private static Answer mayHaveRunEnd(int status, String reason) {
    return switch (status) {
      case ResponseHeaders.TIMED_OUT_STATUS -> new Answer.Ended(new AttemptEnd.TimedOut());
      case ResponseHeaders.BROKEN_STATUS -> new Answer.Ended(new AttemptEnd.Broken());
      default -> new Answer.Told(OutcomeWord.MAY_HAVE_RUN, status, reason);
    };
  }

  private static AttemptEnd notRunEnd(String reason) {
    RefusalReason refusal = REASONS.get(reason);
    return refusal == null ? new AttemptEnd.NotConnected() : new AttemptEnd.Refused(refusal);
  }

  private static Answer.Told notRun(String reason) {
    return new Answer.Told(OutcomeWord.NOT_RUN, ResponseHeaders.NOT_RUN_STATUS, reason);
  }

  private static Answer.Told mayHaveRun(int status, String reason) {
    return new Answer.Told(OutcomeWord.MAY_HAVE_RUN, status, reason);
  }

  private static Map<String, RefusalReason> reasons() {
    Map<String, RefusalReason> reasons = new HashMap<>();
    for (RefusalReason reason : RefusalReason.values()) {
      reasons.put(reason.word(), reason);
    }
    return Map.copyOf(reasons);
  }

  private static Map<String, OutcomeWord> words() {
    Map<String, OutcomeWord> words = new HashMap<>();
    for (OutcomeWord word : OutcomeWord.values()) {
      words.put(word.word(), word);
    }
    return Map.copyOf(words);
  }
}
