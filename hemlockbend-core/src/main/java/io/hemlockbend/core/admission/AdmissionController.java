package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.placement.WaitingKind;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.traffic.ColdRate;
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
  /** How much room at a cold upstream is kept for requests that cannot wait. */
  private static final int KEPT_ROOM = 4;

  /** The part of a cold upstream's slots that is kept for hurried requests while some come. */
  private static final double KEPT_SLOTS_SHARE = 1.0 / 3;

  /** For how long after a hurried request more of them are expected. */
  private static final long HURRIED_AGAIN_MILLIS = 1_000;

  /** A request that can wait for this many others at a cold upstream leaves that room to them. */
  private static final int PATIENT_REQUESTS = 3;

  private final AdmissionSettings settings;
  private final ServiceTimes times = new ServiceTimes();
  private final WaitQueue queue = new WaitQueue();
  private final Set<Long> running = new HashSet<>();
  private final Deque<Long> lingerUntilMillis = new ArrayDeque<>();
  private final ConcurrencyLimit limit;
  private final ColdRate coldRate;
  private final boolean byPatience;
  private AdmissionGate gate;
  private StartId start;
  private boolean aloneRuns;
  private long hurriedMillis = Long.MIN_VALUE / 2;
  private long lastNumber;

  /**
   * Makes the controller of an upstream in its cold start; equally urgent requests wait by arrival.
   *
   * @param settings the bounds
   * @param gate what is known of the upstream
   * @param start which start of the upstream's process this is
   * @param nowMillis the time
   */
  public AdmissionController(
      AdmissionSettings settings, AdmissionGate gate, StartId start, long nowMillis) {
    this(settings, gate, start, ColdRate.unbounded(), false, nowMillis);
  }

  /**
   * Makes the controller of an upstream that tells how long it is cold; equally urgent requests
   * wait by how long they can.
   *
   * @param settings the bounds
   * @param gate what is known of the upstream
   * @param start which start of the upstream's process this is
   * @param coldRate bounds the requests that it gets while it is cold; may outlive the controller
   * @param nowMillis the time
   */
  public AdmissionController(
      AdmissionSettings settings,
      AdmissionGate gate,
      StartId start,
      ColdRate coldRate,
      long nowMillis) {
    this(settings, gate, start, coldRate, true, nowMillis);
  }

  private AdmissionController(
      AdmissionSettings settings,
      AdmissionGate gate,
      StartId start,
      ColdRate coldRate,
      boolean byPatience,
      long nowMillis) {
    this.settings = settings;
    this.byPatience = byPatience;
    this.coldRate = coldRate;
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
    if (nowMillis + expectedMillis(request, nowMillis) > request.deadlineMillis()) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE);
    }
    long patienceMillis = patience(request, nowMillis);
    if (WaitingKind.inTime(patienceMillis) == WaitingKind.HURRIED) {
      hurriedMillis = nowMillis;
    }
    if (queue.ahead(request, patienceMillis) == 0 && fits(request, patienceMillis, nowMillis)) {
      return new AdmissionDecision.Admitted(start(request, nowMillis));
    }
    return enqueue(request, nowMillis);
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

  /**
   * Returns after how long {@link #expire} can let a queued request in though none ends; 0 when
   * only the end of a request can.
   */
  public long paceMillis(long nowMillis) {
    WaitQueue.Waiting next = queue.first();
    return next == null
        ? 0
        : coldRate.waitMillis(needed(next.patienceMillis(), nowMillis), nowMillis);
  }

  /**
   * Returns how many requests the upstream may run at once now; while it is cold, how many run at
   * the rate that it bears.
   */
  public int currentLimit(long nowMillis) {
    double gap = coldRate.gapMillis(nowMillis);
    int slots = currentLimit();
    return gap == 0 ? slots : Math.clamp(Math.round(times.expectedMillis() / gap), 1, slots);
  }

  /** Returns how many requests the upstream may run at once now. */
  public int currentLimit() {
    return Math.max(1, (int) (limit.limit() * gate.restoreShare()));
  }

  /** Returns how long a request of a route usually takes, in milliseconds; 0 when not known. */
  public double serviceMillis(RouteName route) {
    return times.expectedMillis(route);
  }

  /** Returns how many requests run. */
  public int inFlight() {
    return running.size();
  }

  /** Returns how many requests wait. */
  public int queued() {
    return queue.size();
  }

  /** Returns how many requests wait as a kind. */
  public int queued(WaitingKind kind) {
    return queue.count(kind);
  }

  private AdmissionDecision enqueue(AdmissionRequest request, long nowMillis) {
    Ticket ticket = new Ticket(++lastNumber);
    WaitQueue.Waiting news = new WaitQueue.Waiting(ticket, request, patience(request, nowMillis));
    List<Dropped> shed = new ArrayList<>(1);
    if (queue.size() >= settings.queueLength()) {
      WaitQueue.Waiting victim = queue.shedBehind(news);
      if (victim == null) {
        return new AdmissionDecision.Refused(RefusalReason.QUEUE_FULL);
      }
      shed.add(new Dropped(victim.ticket(), RefusalReason.QUEUE_FULL));
    }
    queue.add(news);
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
    while (next != null
        && (late(next.request(), nowMillis)
            || fits(next.request(), next.patienceMillis(), nowMillis))) {
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

  private boolean fits(AdmissionRequest request, long patienceMillis, long nowMillis) {
    int taken = running.size() + lingerUntilMillis.size();
    boolean room = coldRate.room(nowMillis) >= needed(patienceMillis, nowMillis);
    if (aloneRuns || taken >= slotsFor(patienceMillis, nowMillis) || !room) {
      return false;
    }
    return request.alone() ? taken == 0 : running.size() < currentLimit();
  }

  /**
   * Returns how many slots a request may use. Runs at a cold upstream last long, as they wait for
   * their own calls elsewhere, and would hold every slot that such calls need here.
   */
  private int slotsFor(long patienceMillis, long nowMillis) {
    boolean kept =
        coldRate.cold(nowMillis)
            && nowMillis - hurriedMillis < HURRIED_AGAIN_MILLIS
            && WaitingKind.inTime(patienceMillis) == WaitingKind.PATIENT;
    int slots = settings.slots();
    return kept ? Math.max(1, slots - (int) (slots * KEPT_SLOTS_SHARE)) : slots;
  }

  /** Returns how much room a cold upstream must have for a request to be let in. */
  private int needed(long patienceMillis, long nowMillis) {
    boolean patient = patienceMillis > PATIENT_REQUESTS * coldRate.gapMillis(nowMillis);
    return patient ? 1 + KEPT_ROOM : 1;
  }

  /** Returns how long a request can wait and still be answered in time, if that counts. */
  private long patience(AdmissionRequest request, long nowMillis) {
    if (!byPatience) {
      return 0;
    }
    double service = times.expectedMillis(request.route());
    return (long) (request.deadlineMillis() - nowMillis - service);
  }

  private Permit start(AdmissionRequest request, long nowMillis) {
    coldRate.sent(nowMillis);
    Permit permit = new Permit(++lastNumber, request.route(), request.alone());
    running.add(permit.number());
    aloneRuns |= request.alone();
    limit.running(running.size());
    return permit;
  }

  private boolean late(AdmissionRequest request, long nowMillis) {
    return nowMillis + times.expectedMillis(request.route()) > request.deadlineMillis();
  }

  /**
   * Returns the wait that the queue ahead makes, by Little's law or by the rate that a cold
   * upstream bears, and the service time.
   */
  private double expectedMillis(AdmissionRequest request, long nowMillis) {
    double service = times.expectedMillis(request.route());
    long patienceMillis = patience(request, nowMillis);
    int ahead = queue.ahead(request, patienceMillis);
    if (ahead == 0 && fits(request, patienceMillis, nowMillis)) {
      return service;
    }
    double bySlots = (ahead + 1) * times.expectedMillis() / currentLimit();
    double gap = coldRate.gapMillis(nowMillis);
    if (gap == 0) {
      return service + bySlots;
    }
    int needed = needed(patienceMillis, nowMillis);
    double byRate = coldRate.waitMillis(needed, nowMillis) + ahead * gap;
    return service + (running.size() < currentLimit() ? byRate : Math.max(byRate, bySlots));
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
