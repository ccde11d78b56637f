package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.admission.AdmissionChanges;
import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.Dropped;
import io.hemlockbend.core.admission.Grant;
import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.admission.Ticket;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.placement.FailureRate;
import io.hemlockbend.core.placement.SlackClass;
import io.hemlockbend.core.traffic.ColdRateLimiter;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.http.FieldNames;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.RouteCounts;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Admits, queues and sends the requests to the upstream. All of them pass through here, so that the
 * concurrency limit and the cold rate are enforced exactly.
 */
public final class UpstreamDispatcher {
  /** Maximum number of queued requests per slot. */
  public static final int QUEUE_PER_SLOT = 3;

  private static final long LINGER_MILLIS = 60;
  private static final long MAX_NON_IDEMPOTENT_IDLE_MILLIS = 1_000;
  private static final double SERVICE_TIME_WEIGHT = 0.05;

  /** Receives what the outcomes of requests show about the upstream. */
  interface Observer {
    /** The upstream answered. */
    void answered();

    /** The request reached another upstream than the one that announced itself here. */
    void misdirected();

    /** The upstream accepts no connection. */
    void unreachable(String reason);

    /** The connection was lost before the answer was complete. */
    void connectionLost(String reason);
  }

  private final EventLoop loop;
  private final UpstreamPool pool;
  private final FieldNames names;
  private final Observer observer;
  private final ColdRateLimiter coldRate;
  private final CrashWatch crashes;
  private final RouteTally tally = new RouteTally();
  private final FailureRate failures = new FailureRate();
  private final Map<Ticket, RunningCall> queued = new HashMap<>();
  private AdmissionController controller;
  private UpstreamRecord record;
  private double serviceMillis;
  private boolean grantScheduled;
  private int repeatsRunning;

  UpstreamDispatcher(
      EventLoop loop,
      UpstreamPool pool,
      FieldNames names,
      ColdRateLimiter coldRate,
      CrashWatch crashes,
      Observer observer) {
    this.loop = loop;
    this.pool = pool;
    this.names = names;
    this.coldRate = coldRate;
    this.crashes = crashes;
    this.observer = observer;
  }

  /** Refuses queued requests and starts over for a new process of the upstream. */
  void reset(UpstreamRecord newRecord) {
    dropAll("upstream-replaced");
    record = newRecord;
    crashes.reset(newRecord.id());
    int slots = Math.max(1, newRecord.slots());
    AdmissionSettings settings =
        new AdmissionSettings(
            slots,
            slots,
            slots * QUEUE_PER_SLOT,
            AdmissionSettings.DEFAULT_STEP_MILLIS,
            LINGER_MILLIS);
    VersionKey version = new VersionKey(newRecord.service(), newRecord.version());
    StartId start = new StartId(Long.toString(newRecord.startedMillis()));
    controller =
        new AdmissionController(
            settings, AdmissionGate.open(version), start, coldRate, loop.millis());
    tally.clear();
    failures.clear();
    pool.closeIdle();
  }

  UpstreamLoad load() {
    long nowMillis = loop.millis();
    return new UpstreamLoad(
        controller.inFlight(),
        controller.queued(),
        controller.queued(SlackClass.AMPLE),
        controller.queued(SlackClass.LATE),
        controller.currentLimit(nowMillis),
        serviceMillis,
        failures.rate(nowMillis),
        0,
        0);
  }

  /** Returns the usual service time of a route, in milliseconds; 0 when not known. */
  double serviceMillis(String route) {
    return controller.serviceMillis(new RouteName(route));
  }

  int running() {
    return controller == null ? 0 : controller.inFlight();
  }

  /** Returns the share of the running requests that are repeats, 0 to 1. */
  double repeatShare() {
    int running = running();
    return running == 0 ? 0 : Math.min(1, (double) repeatsRunning / running);
  }

  List<RouteCounts> counts() {
    return tally.counts();
  }

  /** Sends or queues a request; returns a task that cancels it. */
  Runnable run(RunRequest run, Consumer<RunEnd> listener) {
    long nowMillis = loop.millis();
    if (!run.upstream().equals(record.id())) {
      listener.accept(new RunEnd.NotRun("other-upstream"));
      return () -> {};
    }
    RequestId fingerprint = Fingerprints.of(run.http(), names.callerService());
    if (crashes.quarantined(fingerprint)) {
      listener.accept(new RunEnd.NotRun(RefusalReason.QUARANTINED.reasonToken()));
      return () -> {};
    }
    AdmissionRequest admission = AdmissionRequests.of(run, fingerprint, nowMillis);
    RunningCall call = new RunningCall(run, admission, controller, listener, nowMillis);
    switch (controller.offer(admission, nowMillis)) {
      case AdmissionDecision.Admitted admitted -> start(call, admitted.permit());
      case AdmissionDecision.Queued waiting -> {
        call.ticket = waiting.ticket();
        queued.put(waiting.ticket(), call);
        call.deadline = loop.after(admission.deadlineMillis() - nowMillis, this::expire);
        waiting.shed().forEach(this::drop);
        scheduleNextGrant();
      }
      case AdmissionDecision.Refused refused ->
          call.end(new RunEnd.NotRun(refused.reason().reasonToken()));
    }
    return () -> cancel(call);
  }

  /** Refuses all queued requests; they have not run. */
  void dropAll(String reason) {
    for (RunningCall call : List.copyOf(queued.values())) {
      controller.cancel(call.ticket);
      call.end(new RunEnd.NotRun(reason));
    }
    queued.clear();
  }

  private void start(RunningCall call, Permit permit) {
    call.permit = permit;
    repeatsRunning += call.run.repeat() ? 1 : 0;
    long nowMillis = loop.millis();
    if (call.controller.recheck(call.admission, nowMillis).isPresent()) {
      release(call, RunOutcome.NOT_SENT);
      call.end(new RunEnd.NotRun("late"));
      return;
    }
    crashes.started(call.admission.id());
    call.sentMillis = nowMillis;
    long remainingMillis = call.deadlineMillis - nowMillis;
    call.deadline = loop.after(remainingMillis, () -> timedOut(call));
    long maxIdleMillis = call.run.idempotent() ? Long.MAX_VALUE : MAX_NON_IDEMPOTENT_IDLE_MILLIS;
    call.call =
        pool.call(
            AdmissionRequests.toUpstream(call.run, names, remainingMillis),
            maxIdleMillis,
            new CallListener(call));
  }

  private void timedOut(RunningCall call) {
    call.call.cancel();
    crashes.answered(call.admission.id());
    recordRun(call, true, false, loop.millis() - call.sentMillis);
    release(call, RunOutcome.TIMED_OUT);
    call.end(new RunEnd.Lost("no answer by the deadline"));
  }

  private void cancel(RunningCall call) {
    if (call.ended) {
      return;
    }
    if (call.permit == null) {
      call.controller.cancel(call.ticket);
      queued.remove(call.ticket);
      call.end(new RunEnd.NotRun("cancelled"));
    } else if (call.run.idempotent()) {
      call.call.cancel();
      crashes.connectionBroken(call.admission.id());
      release(call, RunOutcome.CANCELLED);
      call.end(new RunEnd.Lost("cancelled"));
    }
  }

  private void expire() {
    apply(controller.expire(loop.millis()));
    scheduleNextGrant();
  }

  /** Schedules the next grant to queued requests at the rate that a cold upstream can take. */
  private void scheduleNextGrant() {
    long waitMillis = controller.nextGrantMillis(loop.millis());
    if (waitMillis > 0 && !grantScheduled) {
      grantScheduled = true;
      loop.after(
          waitMillis,
          () -> {
            grantScheduled = false;
            expire();
          });
    }
  }

  private void release(RunningCall call, RunOutcome outcome) {
    repeatsRunning -= call.run.repeat() ? 1 : 0;
    long nowMillis = loop.millis();
    double elapsedMillis = call.sentMillis == 0 ? 0 : nowMillis - call.sentMillis;
    AdmissionChanges changes =
        call.controller.release(call.permit, outcome, elapsedMillis, nowMillis);
    if (call.controller == controller) {
      apply(changes);
    }
  }

  private void recordRun(RunningCall call, boolean failed, boolean error, long elapsedMillis) {
    tally.add(new RouteName(call.run.route()), failed, error, elapsedMillis);
    failures.record(failed, loop.millis());
    if (!failed) {
      serviceMillis +=
          serviceMillis == 0
              ? elapsedMillis
              : SERVICE_TIME_WEIGHT * (elapsedMillis - serviceMillis);
    }
  }

  private void apply(AdmissionChanges changes) {
    changes.dropped().forEach(this::drop);
    for (Grant grant : changes.granted()) {
      RunningCall call = queued.remove(grant.ticket());
      if (call != null) {
        call.deadline.cancel();
        start(call, grant.permit());
      }
    }
  }

  private void drop(Dropped dropped) {
    RunningCall call = queued.remove(dropped.ticket());
    if (call != null) {
      call.end(new RunEnd.NotRun(dropped.reason().reasonToken()));
    }
  }

  private final class CallListener implements UpstreamPool.Listener {
    private final RunningCall call;

    CallListener(RunningCall call) {
      this.call = call;
    }

    @Override
    public void answered(HttpReply reply) {
      crashes.answered(call.admission.id());
      crashes.responded();
      observer.answered();
      if (reply.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
        release(call, RunOutcome.NOT_SENT);
        call.end(new RunEnd.NotRun("misdirected", true));
        observer.misdirected();
        return;
      }
      if (reply.field(names.notRun()) != null) {
        // An upstream that sheds answers fast and would attract requests by its short queue.
        failures.record(true, loop.millis());
        release(call, RunOutcome.BROKEN);
        call.end(new RunEnd.NotRun("upstream-full", true));
        return;
      }
      long elapsedMillis = loop.millis() - call.sentMillis;
      boolean failed = HttpStatus.isServerError(reply.status());
      if (!failed) {
        crashes.completed(call.admission.id());
      }
      recordRun(call, failed, failed, elapsedMillis);
      release(call, failed ? RunOutcome.FAILED : RunOutcome.ANSWERED);
      call.end(
          reply.field(names.seal()) != null
              ? new RunEnd.Answered(reply, elapsedMillis)
              : new RunEnd.Lost("answer without the upstream's mark, status " + reply.status()));
    }

    @Override
    public void notSent(String reason) {
      crashes.answered(call.admission.id());
      release(call, RunOutcome.NOT_SENT);
      call.end(new RunEnd.NotRun(reason));
      observer.unreachable(reason);
    }

    @Override
    public void lost(String reason) {
      recordRun(call, true, false, loop.millis() - call.sentMillis);
      crashes.connectionBroken(call.admission.id());
      release(call, RunOutcome.BROKEN);
      call.end(new RunEnd.Lost(reason));
      observer.connectionLost(reason);
    }
  }
}
