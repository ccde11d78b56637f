package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.retry.OutcomeWord;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a trace against the lines that must hold, and counts what does not. */
final class TraceChecks {
  private static final long LEAVE_MILLIS = 3_000;
  private static final long CRASH_NOTICE_MILLIS = 100;
  private static final long TELL_SLACK_MILLIS = 300;

  private final Sizes sizes;
  private final int observed;
  private final boolean otherCrashes;
  private final Map<Line, Integer> broken = new EnumMap<>(Line.class);
  private final Map<Integer, Integer> runsOfRequest = new HashMap<>();
  private final Map<Integer, Integer> runsOfSend = new HashMap<>();
  private final Map<UpstreamId, Long> closedMillis = new HashMap<>();
  private final Map<Integer, Long> untold = new HashMap<>();
  private final Set<Integer> crashSends = new HashSet<>();
  private final Set<Integer> atAllCrashes = new HashSet<>();
  private int crashes;
  private long lastRunAllowedMillis = Long.MAX_VALUE;

  private TraceChecks(Sizes sizes, int observed, boolean otherCrashes) {
    this.otherCrashes = otherCrashes;
    this.sizes = sizes;
    this.observed = observed;
  }

  /** Returns how often each line was broken; a line that held is not named. */
  static Map<Line, Integer> check(
      List<TraceEvent> trace, Sizes sizes, int observed, boolean otherCrashes) {
    TraceChecks checks = new TraceChecks(sizes, observed, otherCrashes);
    trace.forEach(checks::take);
    checks.untold.values().forEach(deadline -> checks.broke(Line.EVERY_SEND_TOLD));
    checks.checkWords(trace);
    return checks.broken;
  }

  private void take(TraceEvent event) {
    switch (event) {
      case TraceEvent.Sent sent -> untold.put(sent.send(), sent.deadlineMillis());
      case TraceEvent.Ran ran -> ran(ran);
      case TraceEvent.Told told -> told(told);
      case TraceEvent.Crashed crashed -> crashed(crashed);
      case TraceEvent.Closed closed ->
          closedMillis.putIfAbsent(closed.upstream(), closed.atMillis());
      case TraceEvent.DrainDone(long _, int cut) -> {
        if (cut > 0) {
          broke(Line.DRAIN_CUTS_NOTHING);
        }
      }
    }
  }

  private void ran(TraceEvent.Ran ran) {
    if (ran.running() > sizes.slots()) {
      broke(Line.SLOTS_NOT_OVERRUN);
    }
    int ofSend = runsOfSend.merge(ran.send(), 1, Integer::sum);
    int ofRequest = runsOfRequest.merge(ran.request().number(), 1, Integer::sum);
    Kind kind = ran.request().kind();
    if (kind == Kind.KEYED && ofRequest > 1 || kind == Kind.UNSAFE && ofSend > 1) {
      broke(Line.AT_MOST_ONCE);
    }
    checkClosed(ran);
    if (ran.request().number() == observed && ran.atMillis() > lastRunAllowedMillis) {
      broke(Line.CRASHES_BOUNDED);
    }
  }

  /** Work admitted before a drain or withdrawal may still run; it is over within a few seconds. */
  private void checkClosed(TraceEvent.Ran ran) {
    Long closed = closedMillis.get(ran.upstream());
    boolean admittedLater = closed != null && ran.admittedMillis() > closed;
    if (admittedLater || closed != null && ran.atMillis() > closed + LEAVE_MILLIS) {
      broke(Line.NO_WORK_ONCE_CLOSED);
    }
  }

  private void told(TraceEvent.Told told) {
    Long deadline = untold.remove(told.send());
    if (deadline == null || told.atMillis() > deadline + TELL_SLACK_MILLIS) {
      broke(Line.EVERY_SEND_TOLD);
    }
    int request = told.request().number();
    if (told.tell() instanceof Tell.Answered(int of, boolean whole) && !(whole && of == request)) {
      broke(Line.OWN_WHOLE_ANSWER);
    }
    if (told.tell() instanceof Tell.Refused(var _, String reason)
        && reason.equals("quarantined")
        && request != observed) {
      broke(Line.INNOCENTS_NOT_QUARANTINED);
    }
  }

  /**
   * Two crashes are allowed for each send, and no run once the report of the deciding crash has
   * spread: the second one, or the third while another request was in flight at all of them, or may
   * have been in flight at a crash that no request caused.
   */
  private void crashed(TraceEvent.Crashed crashed) {
    crashes++;
    crashSends.add(crashed.send());
    if (crashes > 2 * crashSends.size()) {
      broke(Line.CRASHES_BOUNDED);
    }
    if (crashes == 1) {
      atAllCrashes.addAll(crashed.running());
    }
    atAllCrashes.retainAll(crashed.running());
    boolean doubt = atAllCrashes.size() > 1 || otherCrashes;
    if (crashes >= 3 || crashes == 2 && !doubt) {
      long spreadMillis = crashed.atMillis() + CRASH_NOTICE_MILLIS + Mesh.SPREAD_MILLIS;
      lastRunAllowedMillis = Math.min(lastRunAllowedMillis, spreadMillis);
    }
  }

  /** Compares the words with all runs of their sends, those after the word too. */
  private void checkWords(List<TraceEvent> trace) {
    for (TraceEvent event : trace) {
      if (event instanceof TraceEvent.Told told
          && told.tell() instanceof Tell.Refused(OutcomeWord word, String _)
          && word == OutcomeWord.NOT_RUN
          && runsOfSend.containsKey(told.send())) {
        broke(Line.NOT_RUN_IS_TRUE);
      }
    }
  }

  private void broke(Line line) {
    broken.merge(line, 1, Integer::sum);
  }
}
