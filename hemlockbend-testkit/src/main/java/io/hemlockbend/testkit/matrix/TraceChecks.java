package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a trace against the invariants and counts the violations. */
final class TraceChecks {
  private static final long MAX_START_AFTER_CLOSE_MILLIS = 3_000;
  private static final long CRASH_REPORT_MILLIS = 100;
  private static final long COMPLETION_SLACK_MILLIS = 300;

  private final Sizes sizes;
  private final int observed;
  private final boolean otherCrashes;
  private final Map<Invariant, Integer> violations = new EnumMap<>(Invariant.class);
  private final Map<Integer, Integer> runsOfRequest = new HashMap<>();
  private final Map<Integer, Integer> runsOfSend = new HashMap<>();
  private final Map<UpstreamId, Long> closedMillis = new HashMap<>();
  private final Map<Integer, Long> openDeadlines = new HashMap<>();
  private final Set<Integer> crashSends = new HashSet<>();
  private final Set<Integer> inFlightAtAllCrashes = new HashSet<>();
  private int crashes;
  private long lastRunAllowedMillis = Long.MAX_VALUE;

  private TraceChecks(Sizes sizes, int observed, boolean otherCrashes) {
    this.otherCrashes = otherCrashes;
    this.sizes = sizes;
    this.observed = observed;
  }

  /** Returns the violations of each invariant; those that held are absent. */
  static Map<Invariant, Integer> check(
      List<TraceEvent> trace, Sizes sizes, int observed, boolean otherCrashes) {
    TraceChecks checks = new TraceChecks(sizes, observed, otherCrashes);
    trace.forEach(checks::accept);
    checks
        .openDeadlines
        .values()
        .forEach(deadline -> checks.violated(Invariant.EVERY_SEND_COMPLETED));
    checks.checkNotRunOutcomes(trace);
    return checks.violations;
  }

  private void accept(TraceEvent event) {
    switch (event) {
      case TraceEvent.Sent sent -> openDeadlines.put(sent.send(), sent.deadlineMillis());
      case TraceEvent.Started started -> onStarted(started);
      case TraceEvent.Completed completed -> onCompleted(completed);
      case TraceEvent.Crashed crashed -> onCrashed(crashed);
      case TraceEvent.Closed closed ->
          closedMillis.putIfAbsent(closed.upstream(), closed.atMillis());
      case TraceEvent.DrainDone(long _, int aborted) -> {
        if (aborted > 0) {
          violated(Invariant.DRAIN_CUTS_NOTHING);
        }
      }
    }
  }

  private void onStarted(TraceEvent.Started started) {
    if (started.running() > sizes.slots()) {
      violated(Invariant.SLOTS_NOT_OVERRUN);
    }
    int sendRuns = runsOfSend.merge(started.send(), 1, Integer::sum);
    int requestRuns = runsOfRequest.merge(started.request().number(), 1, Integer::sum);
    Kind kind = started.request().kind();
    if (kind == Kind.KEYED && requestRuns > 1 || kind == Kind.UNSAFE && sendRuns > 1) {
      violated(Invariant.AT_MOST_ONCE);
    }
    checkClosed(started);
    if (started.request().number() == observed && started.atMillis() > lastRunAllowedMillis) {
      violated(Invariant.CRASHES_BOUNDED);
    }
  }

  /** Work admitted before a drain or withdrawal may still start, but only for a few seconds. */
  private void checkClosed(TraceEvent.Started started) {
    Long closed = closedMillis.get(started.upstream());
    boolean admittedLater = closed != null && started.admittedMillis() > closed;
    if (admittedLater
        || closed != null && started.atMillis() > closed + MAX_START_AFTER_CLOSE_MILLIS) {
      violated(Invariant.NO_WORK_ONCE_CLOSED);
    }
  }

  private void onCompleted(TraceEvent.Completed completed) {
    Long deadline = openDeadlines.remove(completed.send());
    if (deadline == null || completed.atMillis() > deadline + COMPLETION_SLACK_MILLIS) {
      violated(Invariant.EVERY_SEND_COMPLETED);
    }
    int request = completed.request().number();
    if (completed.outcome() instanceof SendOutcome.Answered(int number, boolean complete)
        && !(complete && number == request)) {
      violated(Invariant.OWN_WHOLE_ANSWER);
    }
    if (completed.outcome() instanceof SendOutcome.Refused(var _, String reason)
        && reason.equals("quarantined")
        && request != observed) {
      violated(Invariant.INNOCENTS_NOT_QUARANTINED);
    }
  }

  /**
   * Allows two crashes for each send, and no run once the report of the deciding crash has reached
   * all nodes. That is the second crash, or the third if another request was in flight at all
   * crashes, or may have been in flight at a crash that no request caused.
   */
  private void onCrashed(TraceEvent.Crashed crashed) {
    crashes++;
    crashSends.add(crashed.send());
    if (crashes > 2 * crashSends.size()) {
      violated(Invariant.CRASHES_BOUNDED);
    }
    if (crashes == 1) {
      inFlightAtAllCrashes.addAll(crashed.running());
    }
    inFlightAtAllCrashes.retainAll(crashed.running());
    boolean ambiguous = inFlightAtAllCrashes.size() > 1 || otherCrashes;
    if (crashes >= 3 || crashes == 2 && !ambiguous) {
      long knownMillis = crashed.atMillis() + CRASH_REPORT_MILLIS + Mesh.MAX_PROPAGATION_MILLIS;
      lastRunAllowedMillis = Math.min(lastRunAllowedMillis, knownMillis);
    }
  }

  /** Checks each "not run" against all runs of its send, including those after the reply. */
  private void checkNotRunOutcomes(List<TraceEvent> trace) {
    for (TraceEvent event : trace) {
      if (event instanceof TraceEvent.Completed completed
          && completed.outcome() instanceof SendOutcome.Refused(ReportedOutcome outcome, String _)
          && outcome == ReportedOutcome.NOT_RUN
          && runsOfSend.containsKey(completed.send())) {
        violated(Invariant.NOT_RUN_IS_TRUE);
      }
    }
  }

  private void violated(Invariant invariant) {
    violations.merge(invariant, 1, Integer::sum);
  }
}
