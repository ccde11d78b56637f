package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The measures of one run, over the sends after the warm-up.
 *
 * @param safeAnswered the share of safe requests that were answered
 * @param onceAnswered the share of keyed and unsafe requests that were answered
 * @param urgentAnswered the share of urgent requests of both kinds that were answered
 * @param safeP99Millis the 99th percentile of the time to answer a safe request
 * @param onceP99Millis the same for keyed and unsafe requests
 * @param goodput answers per second, as a share of the capacity of the warm upstreams
 * @param doubleRuns repeated runs of keyed and unsafe sends
 * @param falseNotRun sends that had run when their caller received "not run"
 * @param overrunShare the share of runs that started on an upstream at its capacity
 * @param worstOverrun the most concurrent runs above the capacity of an upstream
 */
record BenchResult(
    double safeAnswered,
    double onceAnswered,
    double urgentAnswered,
    long safeP99Millis,
    long onceP99Millis,
    double goodput,
    int doubleRuns,
    int falseNotRun,
    double overrunShare,
    int worstOverrun) {
  static final String HEADER =
      String.format(
          "%-9s %-11s %7s %7s %7s %6s %6s %7s %7s %7s %8s %6s",
          "scenario",
          "policy",
          "safe",
          "once",
          "urgent",
          "p99 s",
          "p99 o",
          "goodput",
          "doubles",
          "false",
          "overrun",
          "worst");

  private static final long WARM_UP_MILLIS = 8_000;

  static BenchResult of(List<TraceEvent> trace, Sizes sizes) {
    return new Tally(sizes).count(trace);
  }

  @Override
  public String toString() {
    return String.format(
        "%7.4f %7.4f %7.4f %6d %6d %7.3f %7d %7d %8.4f %6d",
        safeAnswered,
        onceAnswered,
        urgentAnswered,
        safeP99Millis,
        onceP99Millis,
        goodput,
        doubleRuns,
        falseNotRun,
        overrunShare,
        worstOverrun);
  }

  /** Accumulates the counts over a trace. */
  private static final class Tally {
    private final Sizes sizes;
    private final Map<Integer, Long> sentMillis = new HashMap<>();
    private final Map<Integer, Integer> runsOfSend = new HashMap<>();
    private final List<Long> safeMillis = new ArrayList<>();
    private final List<Long> onceMillis = new ArrayList<>();
    private int safeSent;
    private int onceSent;
    private int urgentSent;
    private int urgentAnswered;
    private int doubleRuns;
    private int falseNotRun;
    private int runs;
    private int overruns;
    private int worstOverrun;

    Tally(Sizes sizes) {
      this.sizes = sizes;
    }

    BenchResult count(List<TraceEvent> trace) {
      trace.forEach(this::accept);
      double seconds = (sizes.endMillis() - WARM_UP_MILLIS) / 1_000.0;
      double answers = safeMillis.size() + onceMillis.size();
      return new BenchResult(
          (double) safeMillis.size() / safeSent,
          (double) onceMillis.size() / onceSent,
          (double) urgentAnswered / urgentSent,
          p99(safeMillis),
          p99(onceMillis),
          answers / seconds / sizes.capacityPerSecond(),
          doubleRuns,
          falseNotRun,
          (double) overruns / runs,
          worstOverrun);
    }

    private void accept(TraceEvent event) {
      if (event.atMillis() < WARM_UP_MILLIS) {
        return;
      }
      switch (event) {
        case TraceEvent.Sent sent -> onSent(sent);
        case TraceEvent.Started started -> onStarted(started);
        case TraceEvent.Completed completed -> onCompleted(completed);
        default -> {
          // crashes and drains show in the other events
        }
      }
    }

    private void onSent(TraceEvent.Sent sent) {
      sentMillis.put(sent.send(), sent.atMillis());
      urgentSent += sent.request().priority() == Priority.URGENT ? 1 : 0;
      if (sent.request().kind() == Kind.SAFE) {
        safeSent++;
      } else {
        onceSent++;
      }
    }

    private void onStarted(TraceEvent.Started started) {
      runs++;
      int excess = started.running() - started.capacity();
      overruns += excess > 0 ? 1 : 0;
      worstOverrun = Math.max(worstOverrun, excess);
      int sendRuns = runsOfSend.merge(started.send(), 1, Integer::sum);
      doubleRuns += started.request().kind() != Kind.SAFE && sendRuns > 1 ? 1 : 0;
    }

    private void onCompleted(TraceEvent.Completed completed) {
      Long sent = sentMillis.get(completed.send());
      if (sent == null) {
        return;
      }
      if (completed.outcome() instanceof SendOutcome.Answered) {
        urgentAnswered += completed.request().priority() == Priority.URGENT ? 1 : 0;
        boolean safe = completed.request().kind() == Kind.SAFE;
        (safe ? safeMillis : onceMillis).add(completed.atMillis() - sent);
      }
      boolean notRun =
          completed.outcome() instanceof SendOutcome.Refused(ReportedOutcome outcome, String _)
              && outcome == ReportedOutcome.NOT_RUN;
      falseNotRun += notRun && runsOfSend.containsKey(completed.send()) ? 1 : 0;
    }

    private static long p99(List<Long> millis) {
      if (millis.isEmpty()) {
        return 0;
      }
      List<Long> sorted = millis.stream().sorted().toList();
      return sorted.get((sorted.size() - 1) * 99 / 100);
    }
  }
}
