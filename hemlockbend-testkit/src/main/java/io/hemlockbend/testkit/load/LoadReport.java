package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallOutcome;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;

/**
 * The results of a load.
 *
 * @param calls the number of calls that were due
 * @param whole the number of calls with the whole answer to their own request
 * @param answers the number of answers by state
 * @param statuses the number of answers by status and outcome header; status 0 is no answer
 * @param versions the number of answers by version
 * @param latency the latency of whole answers, measured from the time when a call was due
 * @param seconds the calls by the second in which they were due
 */
public record LoadReport(
    long calls,
    long whole,
    SortedMap<AnswerState, Long> answers,
    List<StatusCount> statuses,
    SortedMap<String, Long> versions,
    Latency latency,
    List<Second> seconds) {

  /**
   * The number of answers with a status and an outcome.
   *
   * @param status the HTTP status, or 0 without an answer
   * @param outcome the outcome header, or empty when there was none
   * @param count the number of answers
   */
  public record StatusCount(int status, Optional<CallOutcome> outcome, long count) {}

  /**
   * Quantiles of latency.
   *
   * @param p50Micros the median, microseconds
   * @param p99Micros the 99th percentile, microseconds
   * @param maxMicros the maximum, microseconds
   */
  public record Latency(long p50Micros, long p99Micros, long maxMicros) {}

  /**
   * The calls that were due in one second.
   *
   * @param second the number of the second, 0 at the start of the load
   * @param calls the number of calls
   * @param whole the number of calls with their whole answer
   * @param p99Micros the 99th percentile of latency of the whole answers, microseconds
   */
  public record Second(int second, long calls, long whole, long p99Micros) {}

  /** Returns the share of calls that got the whole answer to their own request, 0 to 1. */
  public double successShare() {
    return calls == 0 ? 1 : (double) whole / calls;
  }

  /** Returns the number of answers that looked whole but were damaged or another request's. */
  public long wrong() {
    return answers.getOrDefault(AnswerState.DAMAGED, 0L)
        + answers.getOrDefault(AnswerState.CROSSED, 0L);
  }
}
