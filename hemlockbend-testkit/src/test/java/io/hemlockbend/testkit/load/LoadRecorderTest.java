package io.hemlockbend.testkit.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.RequestId;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LoadRecorderTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private static TraceRecord.Call whole() {
    return new TraceRecord.Call(
        0,
        0,
        new RequestId("r"),
        CallKind.GET,
        "/",
        Optional.empty(),
        200,
        AnswerState.WHOLE,
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  @Test
  void stallAddsLatencyToEveryCallDueDuringIt() {
    LoadRecorder recorder = new LoadRecorder();
    for (int dueMillis = 0; dueMillis < 1_000; dueMillis++) {
      recorder.record(dueMillis * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI, whole());
    }
    assertThat(recorder.report().latency().p50Micros()).isBetween(495_000L, 505_000L);
    assertThat(recorder.report().latency().maxMicros()).isBetween(999_000L, 1_001_000L);
    assertThat(recorder.report().seconds()).hasSize(1);
  }

  @Test
  void arrivalsAreReproducibleFromTheSeedAtTheGivenRate() {
    List<PlannedCall> first = calls(5);
    assertThat(first).isEqualTo(calls(5)).isNotEqualTo(calls(6));
    assertThat(first.size()).isBetween(9_600, 10_400);
    assertThat(first).extracting(PlannedCall::dueNanos).isSorted();
  }

  private static List<PlannedCall> calls(long seed) {
    LoadPlan plan =
        new LoadPlan(
            List.of(URI.create("http://127.0.0.1:1")),
            100,
            100_000,
            1,
            1,
            List.of(CallTemplate.parse("get:/a:1"), CallTemplate.parse("post:/b:1")),
            seed);
    List<PlannedCall> calls = new ArrayList<>();
    new CallPlanner(plan).forEachRemaining(calls::add);
    return calls;
  }
}
