package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallOutcome;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;

/**
 * What came of a load.
 *
 * @param calls how many calls were due
 * @param whole how many got the whole answer to their own request
 * @param answers how many answers there were of each state
 * @param statuses how many answers had each status and outcome header; status 0 is no answer
 * @param versions how many answers came from each version
 * @param latency the latency of whole answers, from when the calls were due
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
   * How many answers had a status and an outcome.
   *
   * @param status the HTTP status, or 0 without an answer
   * @param outcome the outcome header, when there was one
   * @param count how many
   */
  public record StatusCount(int status, Optional<CallOutcome> outcome, long count) {}

  /**
   * Quantiles of latency.
   *
   * @param p50Micros the median, microseconds
   * @param p99Micros what 99 in 100 do not exceed, microseconds
   * @param maxMicros the longest, microseconds
   */
  public record Latency(long p50Micros, long p99Micros, long maxMicros) {}

  /**
   * The calls that were due in one second.
   *
   * @param second counts from the start of the load
   * @param calls how many
   * @param whole how many got their whole answer
   * @param p99Micros latency that 99 in 100 of these do not exceed, microseconds
   */
  public record Second(int second, long calls, long whole, long p99Micros) {}

  /** Returns the share of calls that got the whole answer to their own request, 0 to 1. */
  public double successShare() {
    return calls == 0 ? 1 : (double) whole / calls;
  }

  /** Returns how many answers looked whole and were not, or were another request's. */
  public long wrong() {
    return answers.getOrDefault(AnswerState.DAMAGED, 0L)
        + answers.getOrDefault(AnswerState.CROSSED, 0L);
  }
}
