package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.retry.OutcomeWord;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a run came to, over the sends after the warm-up.
 *
 * @param safeAnswered the share of safe requests that were answered
 * @param onceAnswered the share of the others that were answered
 * @param urgentAnswered the share of urgent requests of both kinds that were answered
 * @param safeP99Millis how long 99 in 100 answered safe requests took at most
 * @param onceP99Millis the same for the others
 * @param goodput answers to all, as a share of what warm upstreams can give
 * @param doubleRuns requests that may not be repeated and ran again
 * @param falseNotRun sends that ran and were told "not run"
 * @param overrunShare the share of runs that began on an upstream that bore no more
 * @param worstOverrun the most requests that ran at once over what the upstream bore
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

  private static final long WARM_MILLIS = 8_000;

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

  /** Counts while it reads a trace. */
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
      trace.forEach(this::take);
      double seconds = (sizes.endMillis() - WARM_MILLIS) / 1_000.0;
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

    private void take(TraceEvent event) {
      if (event.atMillis() < WARM_MILLIS) {
        return;
      }
      switch (event) {
        case TraceEvent.Sent sent -> sent(sent);
        case TraceEvent.Ran ran -> ran(ran);
        case TraceEvent.Told told -> told(told);
        default -> {
          // crashes and drains are counted by their effects
        }
      }
    }

    private void sent(TraceEvent.Sent sent) {
      sentMillis.put(sent.send(), sent.atMillis());
      urgentSent += sent.request().priority() == Priority.URGENT ? 1 : 0;
      if (sent.request().kind() == Kind.SAFE) {
        safeSent++;
      } else {
        onceSent++;
      }
    }

    private void ran(TraceEvent.Ran ran) {
      runs++;
      int over = ran.running() - ran.bears();
      overruns += over > 0 ? 1 : 0;
      worstOverrun = Math.max(worstOverrun, over);
      int ofSend = runsOfSend.merge(ran.send(), 1, Integer::sum);
      doubleRuns += ran.request().kind() != Kind.SAFE && ofSend > 1 ? 1 : 0;
    }

    private void told(TraceEvent.Told told) {
      Long sent = sentMillis.get(told.send());
      if (sent == null) {
        return;
      }
      if (told.tell() instanceof Tell.Answered) {
        urgentAnswered += told.request().priority() == Priority.URGENT ? 1 : 0;
        boolean safe = told.request().kind() == Kind.SAFE;
        (safe ? safeMillis : onceMillis).add(told.atMillis() - sent);
      }
      boolean notRun =
          told.tell() instanceof Tell.Refused(OutcomeWord word, String _)
              && word == OutcomeWord.NOT_RUN;
      falseNotRun += notRun && runsOfSend.containsKey(told.send()) ? 1 : 0;
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
