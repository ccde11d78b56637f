package io.hemlockbend.node.admission;

import io.hemlockbend.core.admission.AdmissionChanges;
import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.AdmissionSettings;
import io.hemlockbend.core.admission.Dropped;
import io.hemlockbend.core.admission.Grant;
import io.hemlockbend.core.admission.PauseFence;
import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.admission.Ticket;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.quarantine.CrashTracker;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.forward.Forwarder;
import io.hemlockbend.node.forward.Hop;
import io.hemlockbend.node.log.DecisionListener;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Admits requests to the upstream beside this node and runs them. A refused request is refused
 * before any byte of it is sent to the upstream. Thread-safe: one lock guards the admission state,
 * and no request is sent or answered while it is held.
 */
public final class AdmissionService {
  private static final long MAX_PAUSE_MILLIS = 3_000;
  private static final double NANOS_PER_MILLI = 1e6;

  /** How long a broken end may wait for the report of the crash; usually it takes a few. */
  private static final long MAX_CRASH_REPORT_MILLIS = 250;

  private static final Answer BROKEN = new Answer.Failed(new AttemptEnd.Broken(false));

  private record Run(Call call, UpstreamLink link, Permit permit, boolean cold, long startNanos) {}

  private record QueuedCall(Call call, UpstreamLink link, CompletableFuture<Answer> answer) {}

  private final Object lock = new Object();
  private final Map<Ticket, QueuedCall> queuedCalls = new HashMap<>();
  private final Forwarder forwarder;
  private final ClaimRunner claims;
  private final Quarantine quarantine;
  private final RunListener listener;
  private final DecisionListener decisions;
  private final Clock clock;
  private final PauseFence fence;
  private UpstreamLink link;

  /**
   * Creates the service of a node whose upstream has not announced itself yet.
   *
   * @param forwarder sends requests to the upstream
   * @param claims claims the keys of requests that must not run twice
   * @param quarantine the requests suspected of crashing upstreams
   * @param listener receives the outcome of each request
   * @param decisions receives each decision
   * @param clock the time source
   */
  public AdmissionService(
      Forwarder forwarder,
      ClaimRunner claims,
      Quarantine quarantine,
      RunListener listener,
      DecisionListener decisions,
      Clock clock) {
    this.forwarder = forwarder;
    this.claims = claims;
    this.quarantine = quarantine;
    this.listener = listener;
    this.decisions = decisions;
    this.clock = clock;
    this.fence = new PauseFence(MAX_PAUSE_MILLIS, clock.millis());
  }

  /**
   * Records an announcement of the upstream. Another upstream id replaces the link; the same id
   * keeps its admission controller and crash tracker.
   *
   * @param endpoint the announced endpoint
   * @param address where it listens
   * @param gate the admission gate that the control thread derived for it
   */
  public void announced(Endpoint endpoint, NodeAddress address, AdmissionGate gate) {
    long now = clock.millis();
    synchronized (lock) {
      if (link == null || !link.upstream().equals(endpoint.upstream())) {
        link = newLink(endpoint, address, gate, now);
        return;
      }
      link.controller().started(endpoint.start(), now);
      link =
          new UpstreamLink(
              endpoint.upstream(), address, endpoint.slots(), link.controller(), link.crashes());
    }
    gate(gate);
  }

  private static UpstreamLink newLink(
      Endpoint endpoint, NodeAddress address, AdmissionGate gate, long now) {
    AdmissionSettings settings = AdmissionSettings.of(endpoint.slots());
    return new UpstreamLink(
        endpoint.upstream(),
        address,
        endpoint.slots(),
        new AdmissionController(settings, gate, endpoint.start(), now),
        new CrashTracker(endpoint.upstream()));
  }

  /** Replaces the admission gate; called by the control thread. */
  public void gate(AdmissionGate gate) {
    update(controller -> controller.gate(gate, clock.millis()));
  }

  /**
   * Renews or reopens the pause fence; called at each tick in which this node is not fenced, since
   * it then has not been paused or has caught up since the pause.
   */
  public void renewPauseFence() {
    synchronized (lock) {
      fence.reopen(clock.millis());
    }
  }

  /** Drops queued requests that can no longer meet their deadline. */
  public void expire() {
    update(controller -> controller.expire(clock.millis()));
  }

  /** Records a crash of the upstream: every request that was in flight becomes a suspect. */
  public void crashed() {
    List<Suspicion> reports;
    synchronized (lock) {
      if (link == null) {
        return;
      }
      reports = quarantine.crashed(link.crashes(), clock.millis());
    }
    listener.crashed(reports);
  }

  /** Returns the number of requests that run on the upstream. */
  public int running() {
    synchronized (lock) {
      return link == null ? 0 : link.controller().inFlight();
    }
  }

  /** Returns the number of requests that wait for the upstream. */
  public int queued() {
    synchronized (lock) {
      return link == null ? 0 : link.controller().queued();
    }
  }

  /** Returns the current concurrency limit of the upstream; 0 without upstream. */
  public int currentLimit() {
    synchronized (lock) {
      return link == null ? 0 : link.controller().currentLimit();
    }
  }

  /**
   * Admits a request and runs it, or refuses it.
   *
   * @param call the request
   * @return the answer or the refusal; never completes exceptionally
   */
  public CompletableFuture<Answer> admit(Call call) {
    UpstreamLink current;
    AdmissionDecision decision;
    CompletableFuture<Answer> queued = new CompletableFuture<>();
    synchronized (lock) {
      current = link;
      if (current == null
          || !current.upstream().equals(call.upstream())
          || fence.closed(clock.millis())) {
        decision = new AdmissionDecision.Refused(RefusalReason.NOT_READY);
      } else {
        decision = current.controller().offer(request(call), clock.millis());
      }
      if (decision instanceof AdmissionDecision.Queued(Ticket ticket, List<Dropped> shed)) {
        queuedCalls.put(ticket, new QueuedCall(call, current, queued));
      }
    }
    return switch (decision) {
      case AdmissionDecision.Admitted(Permit permit) -> run(call, current, permit);
      case AdmissionDecision.Queued(Ticket ticket, List<Dropped> shed) -> {
        shed.forEach(this::drop);
        yield queued;
      }
      case AdmissionDecision.Refused(RefusalReason reason) ->
          CompletableFuture.completedFuture(refuse(call, reason));
    };
  }

  private AdmissionRequest request(Call call) {
    return new AdmissionRequest(
        call.request(),
        call.route(),
        call.version(),
        call.priority(),
        call.deadlineMillis(),
        standing(call));
  }

  private Standing standing(Call call) {
    Standing known = quarantine.standing(call.request(), clock.millis());
    return known == Standing.CLEAR && call.suspect() ? Standing.SUSPECT : known;
  }

  private CompletableFuture<Answer> run(Call call, UpstreamLink current, Permit permit) {
    log(call, false, "admitted");
    Run run;
    synchronized (lock) {
      current.crashes().started(call.request());
      run = new Run(call, current, permit, current.cold(), System.nanoTime());
    }
    return claims.run(call, () -> forward(run)).thenCompose(answer -> finish(run, answer));
  }

  private CompletableFuture<Answer> forward(Run run) {
    Call call = run.call();
    long now = clock.millis();
    Optional<RefusalReason> refusal;
    synchronized (lock) {
      refusal =
          fence.closed(now)
              ? Optional.of(RefusalReason.NOT_READY)
              : run.link().controller().recheck(request(call), now);
    }
    if (refusal.isPresent()) {
      return CompletableFuture.completedFuture(refuse(call, refusal.get()));
    }
    long totalMillis = call.deadlineMillis() - now;
    return forwarder.send(call, new Hop(run.link().address(), false, totalMillis, totalMillis));
  }

  private CompletableFuture<Answer> finish(Run run, Answer answer) {
    if (answer instanceof Answer.Streamed streamed) {
      WatchedSource rest =
          new WatchedSource(
              streamed.rest(),
              complete -> ended(run, complete ? RunOutcome.ANSWERED : RunOutcome.BROKEN));
      return CompletableFuture.completedFuture(
          new Answer.Streamed(streamed.status(), streamed.fields(), streamed.start(), rest));
    }
    ended(run, RunOutcomes.of(answer));
    if (answer instanceof Answer.Failed(AttemptEnd end) && end instanceof AttemptEnd.NotConnected) {
      listener.unreachable();
    }
    if (!answer.equals(BROKEN)) {
      return CompletableFuture.completedFuture(answer);
    }
    Answer broken = run.permit().alone() ? new Answer.Failed(new AttemptEnd.Broken(true)) : answer;
    return crashReported(run.link()).thenApply(reported -> broken);
  }

  /**
   * Checks whether an upstream whose connection broke has crashed. The entry gets the broken end
   * only after the crash was reported, so that a resend finds other nodes informed.
   */
  private CompletableFuture<Void> crashReported(UpstreamLink brokenLink) {
    return UpstreamProbe.refuses(brokenLink.address())
        .thenCompose(
            refused ->
                refused ? listener.unreachable() : CompletableFuture.<Void>completedFuture(null))
        .completeOnTimeout(null, MAX_CRASH_REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void ended(Run run, RunOutcome outcome) {
    double serviceMillis = (System.nanoTime() - run.startNanos()) / NANOS_PER_MILLI;
    long now = clock.millis();
    UpstreamLink usedLink = run.link();
    AdmissionChanges changes;
    synchronized (lock) {
      if (outcome == RunOutcome.BROKEN) {
        usedLink.crashes().connectionBroken(run.call().request(), now);
      } else {
        usedLink.crashes().answered(run.call().request());
      }
      changes = usedLink.controller().release(run.permit(), outcome, serviceMillis, now);
    }
    apply(changes);
    if (run.permit().alone() && outcome == RunOutcome.ANSWERED) {
      quarantine.answeredAlone(run.call().request());
    }
    listener.ended(run.call(), outcome, serviceMillis, run.cold());
  }

  @FunctionalInterface
  private interface ControllerUpdate {
    AdmissionChanges applyTo(AdmissionController controller);
  }

  private void update(ControllerUpdate update) {
    AdmissionChanges changes;
    synchronized (lock) {
      if (link == null) {
        return;
      }
      changes = update.applyTo(link.controller());
    }
    apply(changes);
  }

  private void apply(AdmissionChanges changes) {
    changes.dropped().forEach(this::drop);
    changes.granted().forEach(this::grant);
  }

  private void grant(Grant grant) {
    QueuedCall granted = dequeue(grant.ticket());
    run(granted.call(), granted.link(), grant.permit()).thenAccept(granted.answer()::complete);
  }

  private void drop(Dropped dropped) {
    QueuedCall refused = dequeue(dropped.ticket());
    refused.answer().complete(refuse(refused.call(), dropped.reason()));
  }

  private QueuedCall dequeue(Ticket ticket) {
    synchronized (lock) {
      return queuedCalls.remove(ticket);
    }
  }

  private Answer refuse(Call call, RefusalReason reason) {
    log(call, true, reason.reasonToken());
    return new Answer.Failed(new AttemptEnd.Refused(reason));
  }

  private void log(Call call, boolean refused, String reason) {
    decisions.decided(
        new DecisionRecord(
            clock.millis(),
            DecisionKind.ADMIT,
            Optional.of(call.request()),
            Optional.of(call.route()),
            Optional.of(call.version()),
            Optional.of(call.upstream()),
            refused,
            reason));
  }
}
