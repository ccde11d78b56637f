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
 * The requests that run on the upstream or wait for it. All requests to the upstream pass here, so
 * that its slots and its cold rate are kept exactly.
 */
public final class UpstreamRuns {
  /** How many requests wait at most for each slot. */
  public static final int QUEUE_PER_SLOT = 3;

  private static final long LINGER_MILLIS = 60;
  private static final long FRESH_IDLE_MILLIS = 1_000;
  private static final double SERVICE_WEIGHT = 0.05;

  /** Hears what the ends of requests tell of the upstream. */
  interface Observer {
    /** It answered. */
    void answered();

    /** It is another upstream than the one that announced itself here. */
    void misdirected();

    /** It takes no connection. */
    void unreachable(String reason);

    /** It broke off a request. */
    void brokeOff(String reason);
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
  private boolean pacePlanned;

  UpstreamRuns(
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

  /** Begins anew for another process of the upstream. */
  void begin(UpstreamRecord news) {
    dropAll("upstream-replaced");
    record = news;
    crashes.watch(news.id());
    int slots = Math.max(1, news.slots());
    AdmissionSettings settings =
        new AdmissionSettings(
            slots,
            slots,
            slots * QUEUE_PER_SLOT,
            AdmissionSettings.DEFAULT_STEP_MILLIS,
            LINGER_MILLIS);
    VersionKey version = new VersionKey(news.service(), news.version());
    StartId start = new StartId(Long.toString(news.startedMillis()));
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

  /** Returns how long a request of a route usually takes, in milliseconds; 0 when not known. */
  double serviceMillis(String route) {
    return controller.serviceMillis(new RouteName(route));
  }

  int running() {
    return controller == null ? 0 : controller.inFlight();
  }

  List<RouteCounts> counts() {
    return tally.counts();
  }

  /** Runs a request or lets it wait; returns what takes it back. */
  Runnable run(RunRequest run, Consumer<RunEnd> listener) {
    long nowMillis = loop.millis();
    if (!run.upstream().equals(record.id())) {
      listener.accept(new RunEnd.NotRun("other-upstream"));
      return () -> {};
    }
    RequestId fingerprint = Fingerprints.of(run.http(), names.callerService());
    if (crashes.quarantined(fingerprint)) {
      listener.accept(new RunEnd.NotRun(RefusalReason.QUARANTINED.word()));
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
        planPace();
      }
      case AdmissionDecision.Refused refused ->
          call.end(new RunEnd.NotRun(refused.reason().word()));
    }
    return () -> cancel(call);
  }

  /** Refuses all requests that wait; they have not run. */
  void dropAll(String reason) {
    for (RunningCall call : List.copyOf(queued.values())) {
      controller.cancel(call.ticket);
      call.end(new RunEnd.NotRun(reason));
    }
    queued.clear();
  }

  private void start(RunningCall call, Permit permit) {
    call.permit = permit;
    long nowMillis = loop.millis();
    if (call.controller.recheck(call.admission, nowMillis).isPresent()) {
      release(call, RunOutcome.NOT_SENT);
      call.end(new RunEnd.NotRun("late"));
      return;
    }
    crashes.started(call.admission.id());
    call.sentMillis = nowMillis;
    long leftMillis = call.deadlineMillis - nowMillis;
    call.deadline = loop.after(leftMillis, () -> timedOut(call));
    long maxIdle = call.run.idempotent() ? Long.MAX_VALUE : FRESH_IDLE_MILLIS;
    call.call =
        pool.call(
            AdmissionRequests.toUpstream(call.run, names, leftMillis), maxIdle, new Ends(call));
  }

  private void timedOut(RunningCall call) {
    call.call.cancel();
    crashes.answered(call.admission.id());
    learn(call, true, loop.millis() - call.sentMillis);
    release(call, RunOutcome.TIMED_OUT);
    call.end(new RunEnd.Lost("no answer by the deadline"));
  }

  private void cancel(RunningCall call) {
    if (call.over) {
      return;
    }
    if (call.permit == null) {
      call.controller.cancel(call.ticket);
      queued.remove(call.ticket);
      call.end(new RunEnd.NotRun("cancelled"));
    } else if (call.run.idempotent()) {
      call.call.cancel();
      crashes.broken(call.admission.id());
      release(call, RunOutcome.CANCELLED);
      call.end(new RunEnd.Lost("cancelled"));
    }
  }

  private void expire() {
    apply(controller.expire(loop.millis()));
    planPace();
  }

  /** Lets waiting requests in at the rate that a cold upstream bears. */
  private void planPace() {
    long waitMillis = controller.nextGrantMillis(loop.millis());
    if (waitMillis > 0 && !pacePlanned) {
      pacePlanned = true;
      loop.after(
          waitMillis,
          () -> {
            pacePlanned = false;
            expire();
          });
    }
  }

  private void release(RunningCall call, RunOutcome outcome) {
    long nowMillis = loop.millis();
    double took = call.sentMillis == 0 ? 0 : nowMillis - call.sentMillis;
    AdmissionChanges changes = call.controller.release(call.permit, outcome, took, nowMillis);
    if (call.controller == controller) {
      apply(changes);
    }
  }

  private void learn(RunningCall call, boolean failed, long took) {
    tally.add(new RouteName(call.run.route()), failed, took);
    failures.record(failed, loop.millis());
    if (!failed) {
      serviceMillis += serviceMillis == 0 ? took : SERVICE_WEIGHT * (took - serviceMillis);
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
      call.end(new RunEnd.NotRun(dropped.reason().word()));
    }
  }

  private final class Ends implements UpstreamPool.Listener {
    private final RunningCall call;

    Ends(RunningCall call) {
      this.call = call;
    }

    @Override
    public void answered(HttpReply reply) {
      long took = loop.millis() - call.sentMillis;
      crashes.answered(call.admission.id());
      observer.answered();
      if (reply.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
        release(call, RunOutcome.NOT_SENT);
        call.end(new RunEnd.NotRun("misdirected", true));
        observer.misdirected();
        return;
      }
      if (reply.field(names.notRun()) != null) {
        release(call, RunOutcome.BROKEN);
        call.end(new RunEnd.NotRun("upstream-full", true));
        return;
      }
      boolean failed = HttpStatus.isServerError(reply.status());
      if (!failed) {
        crashes.proven(call.admission.id());
      }
      learn(call, failed, took);
      release(call, failed ? RunOutcome.FAILED : RunOutcome.ANSWERED);
      call.end(
          reply.field(names.seal()) != null
              ? new RunEnd.Answered(reply, took)
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
      learn(call, true, loop.millis() - call.sentMillis);
      crashes.broken(call.admission.id());
      release(call, RunOutcome.BROKEN);
      call.end(new RunEnd.Lost(reason));
      observer.brokeOff(reason);
    }
  }
}
