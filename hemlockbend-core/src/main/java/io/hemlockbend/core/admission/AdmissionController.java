package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.placement.SlackClass;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.traffic.ColdRateLimiter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for one upstream which requests run now, are queued or are refused.
 *
 * <p>Not thread-safe: traffic threads call it under one lock. Calls are short and allocate little:
 * an admission creates one permit and one decision; only {@link #expire} and {@link #gate} iterate
 * over the queue, which is bounded. Times are milliseconds since the epoch.
 *
 * <p>The slots are never exceeded: running requests, and abandoned ones that the upstream may still
 * be working on, each take one. A request is refused at once if by the usual service times it would
 * miss its deadline, so that under overload the slots serve only requests whose callers still wait.
 */
public final class AdmissionController {
  /** Requests of a cold upstream's rate that are reserved for requests that cannot wait. */
  private static final int RESERVED_REQUESTS = 4;

  /** Share of a cold upstream's slots reserved for requests with tight slack while they arrive. */
  private static final double RESERVED_SLOTS_SHARE = 1.0 / 3;

  /** How long the slots stay reserved after the last request with tight slack. */
  private static final long RESERVATION_MILLIS = 1_000;

  /** Requests whose slack exceeds this many cold intervals do not use the reserved ones. */
  private static final int AMPLE_INTERVALS = 3;

  private final AdmissionSettings settings;
  private final ServiceTimes times = new ServiceTimes();
  private final WaitQueue queue = new WaitQueue();
  private final Set<Long> running = new HashSet<>();
  private final Deque<Long> lingerUntilMillis = new ArrayDeque<>();
  private final ConcurrencyLimit limit;
  private final ColdRateLimiter coldRate;
  private final boolean bySlack;
  private AdmissionGate gate;
  private StartId start;
  private boolean exclusiveRuns;
  private long lastTightMillis = Long.MIN_VALUE / 2;
  private long lastNumber;

  /**
   * Creates the controller of an upstream in its cold start. Requests of equal priority are queued
   * in order of arrival.
   *
   * @param settings the bounds
   * @param gate the state of the upstream
   * @param start identifies the start of the upstream's process
   * @param nowMillis the time
   */
  public AdmissionController(
      AdmissionSettings settings, AdmissionGate gate, StartId start, long nowMillis) {
    this(settings, gate, start, ColdRateLimiter.unbounded(), false, nowMillis);
  }

  /**
   * Creates the controller of an upstream that reports how long it stays cold. Requests of equal
   * priority are queued by their slack, the time that they can wait without missing the deadline.
   *
   * @param settings the bounds
   * @param gate the state of the upstream
   * @param start identifies the start of the upstream's process
   * @param coldRate bounds the request rate while the upstream is cold; may outlive the controller
   * @param nowMillis the time
   */
  public AdmissionController(
      AdmissionSettings settings,
      AdmissionGate gate,
      StartId start,
      ColdRateLimiter coldRate,
      long nowMillis) {
    this(settings, gate, start, coldRate, true, nowMillis);
  }

  private AdmissionController(
      AdmissionSettings settings,
      AdmissionGate gate,
      StartId start,
      ColdRateLimiter coldRate,
      boolean bySlack,
      long nowMillis) {
    this.settings = settings;
    this.bySlack = bySlack;
    this.coldRate = coldRate;
    this.gate = gate;
    this.start = start;
    this.limit = new ConcurrencyLimit(settings, nowMillis);
  }

  /** Admits, queues or refuses a request. */
  public AdmissionDecision offer(AdmissionRequest request, long nowMillis) {
    if (!gate.acceptsWork()) {
      return new AdmissionDecision.Refused(gate.closedReason());
    }
    if (!request.version().equals(gate.version())) {
      return new AdmissionDecision.Refused(RefusalReason.WRONG_VERSION);
    }
    if (request.standing() == Standing.QUARANTINED) {
      return new AdmissionDecision.Refused(RefusalReason.QUARANTINED);
    }
    expireLingering(nowMillis);
    if (nowMillis + expectedMillis(request, nowMillis) > request.deadlineMillis()) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE);
    }
    long slackMillis = slack(request, nowMillis);
    if (SlackClass.ofSlack(slackMillis) == SlackClass.TIGHT) {
      lastTightMillis = nowMillis;
    }
    if (queue.ahead(request, slackMillis) == 0 && fits(request, slackMillis, nowMillis)) {
      return new AdmissionDecision.Admitted(start(request, nowMillis));
    }
    return enqueue(request, nowMillis);
  }

  /**
   * Ends the run of a request and admits queued ones; releasing a permit again has no effect.
   *
   * @param permit the permit of the request
   * @param outcome the outcome of the run
   * @param serviceMillis the service time at the upstream
   * @param nowMillis the time
   */
  public AdmissionChanges release(
      Permit permit, RunOutcome outcome, double serviceMillis, long nowMillis) {
    if (!running.remove(permit.number())) {
      return AdmissionChanges.NONE;
    }
    if (permit.alone()) {
      exclusiveRuns = false;
    }
    if (outcome.mayStillRun()) {
      lingerUntilMillis.addLast(nowMillis + settings.lingerMillis());
    }
    double ratio = outcome.timed() ? times.ratio(permit.route(), serviceMillis) : 1;
    limit.recordEnd(outcome, ratio, nowMillis);
    return grant(nowMillis);
  }

  /**
   * Checks a request again right before its first byte goes to the upstream, since the process may
   * have been paused after the admission. A request that is late or quarantined by then, or whose
   * upstream is down, must not be sent; the caller releases its permit as not sent.
   *
   * @param request the request with its current standing
   * @param nowMillis the time
   * @return why the request must not be sent, or empty if it may be
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

  /** Drops queued requests that can no longer be answered in time and admits others. */
  public AdmissionChanges expire(long nowMillis) {
    List<Dropped> dropped =
        dropped(queue.removeIf(w -> late(w.request(), nowMillis)), RefusalReason.DEADLINE);
    AdmissionChanges granted = grant(nowMillis);
    dropped.addAll(granted.dropped());
    return new AdmissionChanges(granted.granted(), dropped);
  }

  /** Removes a queued request whose caller disconnected; does nothing if it is not queued. */
  public void cancel(Ticket ticket) {
    queue.removeIf(waiting -> waiting.ticket().equals(ticket));
  }

  /**
   * Updates the gate. A gate that accepts no work drops all queued requests; an upstream that comes
   * back from {@link EndpointState#DOWN} is treated as cold.
   */
  public AdmissionChanges gate(AdmissionGate newGate, long nowMillis) {
    if (gate.state() == EndpointState.DOWN && newGate.state() == EndpointState.READY) {
      limit.fallBack(nowMillis);
    }
    gate = newGate;
    if (newGate.acceptsWork()) {
      return grant(nowMillis);
    }
    return new AdmissionChanges(
        List.of(), dropped(queue.removeIf(waiting -> true), newGate.closedReason()));
  }

  /** Updates the start of the upstream's process; a new process is treated as cold. */
  public void started(StartId newStart, long nowMillis) {
    if (newStart.equals(start)) {
      return;
    }
    start = newStart;
    lingerUntilMillis.clear();
    limit.fallBack(nowMillis);
  }

  /**
   * Returns after how many milliseconds {@link #expire} can admit a queued request by the rate of a
   * cold upstream; 0 if a request has to end first or none is queued.
   */
  public long nextGrantMillis(long nowMillis) {
    WaitQueue.Waiting next = queue.first();
    return next == null
        ? 0
        : coldRate.waitMillis(neededRequests(next.slackMillis(), nowMillis), nowMillis);
  }

  /**
   * Returns the concurrency limit in force; for a cold upstream the concurrency at which it
   * sustains its rate, if that is less.
   */
  public int currentLimit(long nowMillis) {
    double intervalMillis = coldRate.intervalMillis(nowMillis);
    int slots = currentLimit();
    return intervalMillis == 0
        ? slots
        : Math.clamp(Math.round(times.expectedMillis() / intervalMillis), 1, slots);
  }

  /** Returns the concurrency limit in force, without the rate of a cold upstream. */
  public int currentLimit() {
    return Math.max(1, (int) (limit.limit() * gate.restoreShare()));
  }

  /** Returns the usual service time of a route in milliseconds; 0 if unknown. */
  public double serviceMillis(RouteName route) {
    return times.expectedMillis(route);
  }

  /** Returns the number of running requests. */
  public int inFlight() {
    return running.size();
  }

  /** Returns the queue depth. */
  public int queued() {
    return queue.size();
  }

  /** Returns the number of queued requests of a class. */
  public int queued(SlackClass slackClass) {
    return queue.count(slackClass);
  }

  private AdmissionDecision enqueue(AdmissionRequest request, long nowMillis) {
    Ticket ticket = new Ticket(++lastNumber);
    WaitQueue.Waiting arrival = new WaitQueue.Waiting(ticket, request, slack(request, nowMillis));
    List<Dropped> shed = new ArrayList<>(1);
    if (queue.size() >= settings.queueLength()) {
      WaitQueue.Waiting victim = queue.pollLastIfBehind(arrival);
      if (victim == null) {
        return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL);
      }
      shed.add(new Dropped(victim.ticket(), RefusalReason.QUEUE_FULL));
    }
    queue.add(arrival);
    return new AdmissionDecision.Queued(ticket, shed);
  }

  private AdmissionChanges grant(long nowMillis) {
    expireLingering(nowMillis);
    WaitQueue.Waiting next = queue.first();
    if (next == null) {
      return AdmissionChanges.NONE;
    }
    List<Grant> granted = new ArrayList<>(1);
    List<Dropped> dropped = new ArrayList<>(0);
    while (next != null
        && (late(next.request(), nowMillis)
            || fits(next.request(), next.slackMillis(), nowMillis))) {
      queue.removeFirst();
      if (late(next.request(), nowMillis)) {
        dropped.add(new Dropped(next.ticket(), RefusalReason.DEADLINE));
      } else {
        granted.add(new Grant(next.ticket(), start(next.request(), nowMillis)));
      }
      next = queue.first();
    }
    return new AdmissionChanges(granted, dropped);
  }

  private boolean fits(AdmissionRequest request, long slackMillis, long nowMillis) {
    int taken = running.size() + lingerUntilMillis.size();
    boolean withinRate = coldRate.available(nowMillis) >= neededRequests(slackMillis, nowMillis);
    if (exclusiveRuns || taken >= slotsFor(slackMillis, nowMillis) || !withinRate) {
      return false;
    }
    return request.alone() ? taken == 0 : running.size() < currentLimit();
  }

  /**
   * Returns how many slots a request may use. Requests at a cold upstream run long, as they wait
   * for nested calls to other upstreams, and would take the slots that nested calls need here.
   */
  private int slotsFor(long slackMillis, long nowMillis) {
    boolean reserved =
        coldRate.cold(nowMillis)
            && nowMillis - lastTightMillis < RESERVATION_MILLIS
            && SlackClass.ofSlack(slackMillis) == SlackClass.AMPLE;
    int slots = settings.slots();
    return reserved ? Math.max(1, slots - (int) (slots * RESERVED_SLOTS_SHARE)) : slots;
  }

  /** Returns how many requests a cold upstream's rate must allow for this one to be admitted. */
  private int neededRequests(long slackMillis, long nowMillis) {
    boolean ample = slackMillis > AMPLE_INTERVALS * coldRate.intervalMillis(nowMillis);
    return ample ? 1 + RESERVED_REQUESTS : 1;
  }

  /** Returns the slack of a request in milliseconds; 0 if requests are not ordered by slack. */
  private long slack(AdmissionRequest request, long nowMillis) {
    if (!bySlack) {
      return 0;
    }
    double service = times.expectedMillis(request.route());
    return (long) (request.deadlineMillis() - nowMillis - service);
  }

  private Permit start(AdmissionRequest request, long nowMillis) {
    coldRate.sent(nowMillis);
    Permit permit = new Permit(++lastNumber, request.route(), request.alone());
    running.add(permit.number());
    exclusiveRuns |= request.alone();
    limit.running(running.size());
    return permit;
  }

  private boolean late(AdmissionRequest request, long nowMillis) {
    return nowMillis + times.expectedMillis(request.route()) > request.deadlineMillis();
  }

  /**
   * Returns the estimated queueing time, by Little's law or by the rate of a cold upstream, plus
   * the service time.
   */
  private double expectedMillis(AdmissionRequest request, long nowMillis) {
    double service = times.expectedMillis(request.route());
    long slackMillis = slack(request, nowMillis);
    int ahead = queue.ahead(request, slackMillis);
    if (ahead == 0 && fits(request, slackMillis, nowMillis)) {
      return service;
    }
    double bySlots = (ahead + 1) * times.expectedMillis() / currentLimit();
    double intervalMillis = coldRate.intervalMillis(nowMillis);
    if (intervalMillis == 0) {
      return service + bySlots;
    }
    int neededRequests = neededRequests(slackMillis, nowMillis);
    double byRate = coldRate.waitMillis(neededRequests, nowMillis) + ahead * intervalMillis;
    return service + (running.size() < currentLimit() ? byRate : Math.max(byRate, bySlots));
  }

  private void expireLingering(long nowMillis) {
    while (!lingerUntilMillis.isEmpty() && lingerUntilMillis.peekFirst() <= nowMillis) {
      lingerUntilMillis.removeFirst();
    }
  }

  private static List<Dropped> dropped(List<WaitQueue.Waiting> removed, RefusalReason reason) {
    List<Dropped> dropped = new ArrayList<>(removed.size());
    for (WaitQueue.Waiting waiting : removed) {
      dropped.add(new Dropped(waiting.ticket(), reason));
    }
    return dropped;
  }
}
