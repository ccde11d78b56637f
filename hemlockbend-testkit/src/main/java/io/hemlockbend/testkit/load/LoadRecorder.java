package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallOutcome;
import io.hemlockbend.codec.trace.TraceRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Aggregates the records of calls into a report; thread-safe. */
final class LoadRecorder {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;

  private final SortedMap<AnswerState, Long> answers = new TreeMap<>();
  private final SortedMap<StatusKey, Long> statuses = new TreeMap<>();
  private final SortedMap<String, Long> versions = new TreeMap<>();
  private final SortedMap<Integer, SecondCounts> seconds = new TreeMap<>();
  private final Histogram latencyMicros = new Histogram(SIGNIFICANT_DIGITS);
  private long calls;

  /**
   * Adds a call that has ended.
   *
   * @param dueNanos the time when it was due, since the start of the load
   * @param endNanos the time when it ended, since the start of the load
   * @param call its record
   */
  synchronized void record(long dueNanos, long endNanos, TraceRecord.Call call) {
    calls++;
    answers.merge(call.answer(), 1L, Long::sum);
    statuses.merge(new StatusKey(call.status(), call.outcome()), 1L, Long::sum);
    call.version().ifPresent(version -> versions.merge(version.value(), 1L, Long::sum));
    SecondCounts second =
        seconds.computeIfAbsent((int) (dueNanos / NANOS_PER_SECOND), key -> new SecondCounts());
    second.calls++;
    if (call.answer() == AnswerState.WHOLE) {
      long micros = Math.max(0, endNanos - dueNanos) / NANOS_PER_MICRO;
      latencyMicros.recordValue(micros);
      second.wholeMicros.recordValue(micros);
    }
  }

  synchronized LoadReport report() {
    List<LoadReport.StatusCount> byStatus = new ArrayList<>();
    statuses.forEach(
        (key, count) ->
            byStatus.add(new LoadReport.StatusCount(key.status(), key.outcome(), count)));
    List<LoadReport.Second> bySecond = new ArrayList<>();
    seconds.forEach((second, counts) -> bySecond.add(counts.report(second)));
    return new LoadReport(
        calls,
        latencyMicros.getTotalCount(),
        new TreeMap<>(answers),
        byStatus,
        new TreeMap<>(versions),
        new LoadReport.Latency(
            latencyMicros.getValueAtPercentile(MEDIAN),
            latencyMicros.getValueAtPercentile(P99),
            latencyMicros.getMaxValue()),
        bySecond);
  }

  private record StatusKey(int status, Optional<CallOutcome> outcome)
      implements Comparable<StatusKey> {
    private static final Comparator<StatusKey> ORDER =
        Comparator.comparingInt(StatusKey::status)
            .thenComparing(key -> key.outcome().map(CallOutcome::headerValue).orElse(""));

    @Override
    public int compareTo(StatusKey other) {
      return ORDER.compare(this, other);
    }
  }

  private static final class SecondCounts {
    private final Histogram wholeMicros = new Histogram(SIGNIFICANT_DIGITS);
    private long calls;

    LoadReport.Second report(int second) {
      return new LoadReport.Second(
          second, calls, wholeMicros.getTotalCount(), wholeMicros.getValueAtPercentile(P99));
    }
  }
}
