package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.quarantine.Standing;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides beside one upstream which requests run now, wait or are refused.
 *
 * <p>Traffic threads call it under one lock that the caller of this class holds. Each call is short
 * and allocates little: an admission makes one permit and one decision; only {@link #expire} and
 * {@link #gate} walk the queue, which is bounded. Times are milliseconds since the epoch.
 *
 * <p>The slots are never overrun: requests that run, and those given up that the upstream may still
 * work on, are at most the slots. A request is refused at once when the usual service times say
 * that it would not be answered before its deadline, so that under overload the slots work only on
 * requests whose callers still wait.
 */
public final class AdmissionController {
  private final AdmissionSettings settings;
  private final ServiceTimes times = new ServiceTimes();
  private final WaitQueue queue = new WaitQueue();
  private final Set<Long> running = new HashSet<>();
  private final Deque<Long> lingerUntilMillis = new ArrayDeque<>();
  private final ConcurrencyLimit limit;
  private AdmissionGate gate;
  private StartId start;
  private boolean aloneRuns;
  private long lastNumber;

  /**
   * Makes the controller of an upstream in its cold start.
   *
   * @param settings the bounds
   * @param gate what is known of the upstream
   * @param start which start of the upstream's process this is
   * @param nowMillis the time
   */
  public AdmissionController(
      AdmissionSettings settings, AdmissionGate gate, StartId start, long nowMillis) {
    this.settings = settings;
    this.gate = gate;
    this.start = start;
    this.limit = new ConcurrencyLimit(settings, nowMillis);
  }

  /** Decides on a request. */
  public AdmissionDecision offer(AdmissionRequest request, long nowMillis) {
    if (!gate.takesWork()) {
      return new AdmissionDecision.Refused(gate.closedReason());
    }
    if (!request.version().equals(gate.version())) {
      return new AdmissionDecision.Refused(RefusalReason.WRONG_VERSION);
    }
    if (request.standing() == Standing.QUARANTINED) {
      return new AdmissionDecision.Refused(RefusalReason.QUARANTINED);
    }
    endLingering(nowMillis);
    if (nowMillis + expectedMillis(request) > request.deadlineMillis()) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE);
    }
    if (queue.ahead(request.priority()) == 0 && fits(request)) {
      return new AdmissionDecision.Admitted(start(request));
    }
    return enqueue(request);
  }

  /**
   * Ends a request's run and lets queued ones in; releasing a permit again changes nothing.
   *
   * @param permit the permit that the request ran under
   * @param outcome how it ended
   * @param serviceMillis how long the upstream worked on it
   * @param nowMillis the time
   */
  public AdmissionChanges release(
      Permit permit, RunOutcome outcome, double serviceMillis, long nowMillis) {
    if (!running.remove(permit.number())) {
      return AdmissionChanges.NONE;
    }
    if (permit.alone()) {
      aloneRuns = false;
    }
    if (outcome.mayStillRun()) {
      lingerUntilMillis.addLast(nowMillis + settings.lingerMillis());
    }
    double ratio = outcome.timed() ? times.ratio(permit.route(), serviceMillis) : 1;
    limit.ended(outcome, ratio, nowMillis);
    return grant(nowMillis);
  }

  /**
   * Checks a request again right before its first byte goes to the upstream. The process may have
   * been paused since the admission; a request that is late, quarantined or has lost its upstream
   * by then is not sent, and its permit is released as such.
   *
   * @param request the request with its standing of now
   * @param nowMillis the time
   * @return why it must not be sent, or empty when it may
   */
  public Optional<RefusalReason> recheck(AdmissionRequest request, long nowMillis) {
    if (request.standing() == Standing.QUARANTINED) {
      return Optional.of(RefusalReason.QUARANTINED);
    }
    if (nowMillis >= request.deadlineMillis()) {
      return Optional.of(RefusalReason.DEADLINE);
    }
    return gate.state() == EndpointState.DOWN
        ? Optional.of(RefusalReason.NOT_READY)
        : Optional.empty();
  }

  /** Drops queued requests that cannot be answered in time any more and lets others in. */
  public AdmissionChanges expire(long nowMillis) {
    List<Dropped> dropped =
        dropped(queue.removeIf(w -> late(w.request(), nowMillis)), RefusalReason.DEADLINE);
    AdmissionChanges granted = grant(nowMillis);
    dropped.addAll(granted.dropped());
    return new AdmissionChanges(granted.granted(), dropped);
  }

  /** Takes a queued request out whose caller went away; does nothing when it is not queued. */
  public void cancel(Ticket ticket) {
    queue.removeIf(waiting -> waiting.ticket().equals(ticket));
  }

  /**
   * Takes in what the control thread knows. A closed gate drops all queued requests; an upstream
   * that was down is taken as cold.
   */
  public AdmissionChanges gate(AdmissionGate newGate, long nowMillis) {
    if (gate.state() == EndpointState.DOWN && newGate.state() == EndpointState.READY) {
      limit.fallBack(nowMillis);
    }
    gate = newGate;
    if (newGate.takesWork()) {
      return grant(nowMillis);
    }
    return new AdmissionChanges(
        List.of(), dropped(queue.removeIf(waiting -> true), newGate.closedReason()));
  }

  /** Takes in which start of the upstream's process this is; a new one is cold. */
  public void started(StartId newStart, long nowMillis) {
    if (newStart.equals(start)) {
      return;
    }
    start = newStart;
    lingerUntilMillis.clear();
    limit.fallBack(nowMillis);
  }

  /** Returns how many requests the upstream may run at once now. */
  public int currentLimit() {
    return Math.max(1, (int) (limit.limit() * gate.restoreShare()));
  }

  /** Returns how many requests run. */
  public int inFlight() {
    return running.size();
  }

  /** Returns how many requests wait. */
  public int queued() {
    return queue.size();
  }

  private AdmissionDecision enqueue(AdmissionRequest request) {
    List<Dropped> shed = new ArrayList<>(1);
    if (queue.size() >= settings.queueLength()) {
      WaitQueue.Waiting victim = queue.shedBelow(request.priority());
      if (victim == null) {
        return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL);
      }
      shed.add(new Dropped(victim.ticket(), RefusalReason.QUEUE_FULL));
    }
    Ticket ticket = new Ticket(++lastNumber);
    queue.add(new WaitQueue.Waiting(ticket, request));
    return new AdmissionDecision.Queued(ticket, shed);
  }

  private AdmissionChanges grant(long nowMillis) {
    endLingering(nowMillis);
    WaitQueue.Waiting next = queue.first();
    if (next == null) {
      return AdmissionChanges.NONE;
    }
    List<Grant> granted = new ArrayList<>(1);
    List<Dropped> dropped = new ArrayList<>(0);
    while (next != null && (late(next.request(), nowMillis) || fits(next.request()))) {
      queue.removeFirst();
      if (late(next.request(), nowMillis)) {
        dropped.add(new Dropped(next.ticket(), RefusalReason.DEADLINE));
      } else {
        granted.add(new Grant(next.ticket(), start(next.request())));
      }
      next = queue.first();
    }
    return new AdmissionChanges(granted, dropped);
  }

  private boolean fits(AdmissionRequest request) {
    int taken = running.size() + lingerUntilMillis.size();
    if (aloneRuns || taken >= settings.slots()) {
      return false;
    }
    return request.alone() ? taken == 0 : running.size() < currentLimit();
  }

  private Permit start(AdmissionRequest request) {
    Permit permit = new Permit(++lastNumber, request.route(), request.alone());
    running.add(permit.number());
    aloneRuns |= request.alone();
    limit.running(running.size());
    return permit;
  }

  private boolean late(AdmissionRequest request, long nowMillis) {
    return nowMillis + times.expectedMillis(request.route()) > request.deadlineMillis();
  }

  /** Returns the wait that the queue ahead makes, by Little's law, and the service time. */
  private double expectedMillis(AdmissionRequest request) {
    double service = times.expectedMillis(request.route());
    int ahead = queue.ahead(request.priority());
    if (ahead == 0 && fits(request)) {
      return service;
    }
    return service + (ahead + 1) * times.expectedMillis() / currentLimit();
  }

  private void endLingering(long nowMillis) {
    while (!lingerUntilMillis.isEmpty() && lingerUntilMillis.peekFirst() <= nowMillis) {
      lingerUntilMillis.removeFirst();
    }
  }

  private static List<Dropped> dropped(List<WaitQueue.Waiting> waiting, RefusalReason reason) {
    List<Dropped> dropped = new ArrayList<>(waiting.size());
    for (WaitQueue.Waiting one : waiting) {
      dropped.add(new Dropped(one.ticket(), reason));
    }
    return dropped;
  }
}
