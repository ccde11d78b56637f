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

/**
 * Admits requests to the upstream beside this node and runs them. Refusals come before a byte goes
 * to the upstream. Safe for many threads: one lock guards the admission state, and no request is
 * sent or answered under it.
 */
public final class AdmissionService {
  private static final long PAUSE_MILLIS = 3_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final Answer BROKEN = new Answer.Ended(new AttemptEnd.Broken(false));

  private record Run(Call call, UpstreamLink link, Permit permit, boolean cold, long startNanos) {}

  private record Waiting(Call call, UpstreamLink link, CompletableFuture<Answer> answer) {}

  private final Object lock = new Object();
  private final Map<Ticket, Waiting> waiting = new HashMap<>();
  private final Forwarder forwarder;
  private final ClaimRunner claims;
  private final Quarantine quarantine;
  private final RunListener listener;
  private final DecisionListener decisions;
  private final Clock clock;
  private final PauseFence fence;
  private UpstreamLink link;

  /**
   * Makes the service of a node whose upstream has not announced itself.
   *
   * @param forwarder sends requests to the upstream
   * @param claims runs requests that may not be repeated
   * @param quarantine the requests suspected of crashing upstreams
   * @param listener hears how requests ended
   * @param decisions hears of each decision
   * @param clock tells the time
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
    this.fence = new PauseFence(PAUSE_MILLIS, clock.millis());
  }

  /**
   * Takes in an upstream's announcement.
   *
   * @param endpoint what it announced
   * @param address where it listens
   * @param gate what the control thread makes of it
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

  /** Takes in what the control thread knows of the upstream. */
  public void gate(AdmissionGate gate) {
    settle(controller -> controller.gate(gate, clock.millis()));
  }

  /** Vouches that this node has not been paused, or has caught up since. */
  public void vouch() {
    synchronized (lock) {
      fence.reopen(clock.millis());
    }
  }

  /** Drops queued requests that cannot be answered in time any more. */
  public void expire() {
    settle(controller -> controller.expire(clock.millis()));
  }

  /** Notes that the upstream crashed: every request in flight becomes suspect. */
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

  /** Returns how many requests run on the upstream now. */
  public int inFlight() {
    synchronized (lock) {
      return link == null ? 0 : link.controller().inFlight() + link.controller().queued();
    }
  }

  /** Returns how many requests the upstream may run at once now; 0 without upstream. */
  public int currentLimit() {
    synchronized (lock) {
      return link == null ? 0 : link.controller().currentLimit();
    }
  }

  /**
   * Admits a request and runs it, or refuses.
   *
   * @param call the request
   * @return what came of it; never fails
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
        waiting.put(ticket, new Waiting(call, current, queued));
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
    return claims.run(call, () -> forward(run)).thenApply(answer -> finish(run, answer));
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

  private Answer finish(Run run, Answer answer) {
    if (answer instanceof Answer.Streamed streamed) {
      WatchedSource rest =
          new WatchedSource(
              streamed.rest(),
              whole -> ended(run, whole ? RunOutcome.ANSWERED : RunOutcome.BROKEN));
      return new Answer.Streamed(streamed.status(), streamed.fields(), streamed.start(), rest);
    }
    ended(run, RunOutcomes.of(answer));
    if (answer instanceof Answer.Ended(AttemptEnd end) && end instanceof AttemptEnd.NotConnected) {
      listener.unreachable();
    }
    boolean brokenAlone = run.permit().alone() && answer.equals(BROKEN);
    return brokenAlone ? new Answer.Ended(new AttemptEnd.Broken(true)) : answer;
  }

  private void ended(Run run, RunOutcome outcome) {
    double serviceMillis = (System.nanoTime() - run.startNanos()) / NANOS_PER_MILLI;
    long now = clock.millis();
    UpstreamLink ran = run.link();
    AdmissionChanges changes;
    synchronized (lock) {
      if (outcome == RunOutcome.BROKEN) {
        ran.crashes().connectionBroken(run.call().request(), now);
      } else {
        ran.crashes().answered(run.call().request());
      }
      changes = ran.controller().release(run.permit(), outcome, serviceMillis, now);
    }
    apply(changes);
    if (run.permit().alone() && outcome == RunOutcome.ANSWERED) {
      quarantine.answeredAlone(run.call().request());
    }
    listener.ended(run.call(), outcome, serviceMillis, run.cold());
  }

  @FunctionalInterface
  private interface Step {
    AdmissionChanges take(AdmissionController controller);
  }

  private void settle(Step step) {
    AdmissionChanges changes;
    synchronized (lock) {
      if (link == null) {
        return;
      }
      changes = step.take(link.controller());
    }
    apply(changes);
  }

  private void apply(AdmissionChanges changes) {
    changes.dropped().forEach(this::drop);
    changes.granted().forEach(this::grant);
  }

  private void grant(Grant grant) {
    Waiting granted = take(grant.ticket());
    run(granted.call(), granted.link(), grant.permit()).thenAccept(granted.answer()::complete);
  }

  private void drop(Dropped dropped) {
    Waiting refused = take(dropped.ticket());
    refused.answer().complete(refuse(refused.call(), dropped.reason()));
  }

  private Waiting take(Ticket ticket) {
    synchronized (lock) {
      return waiting.remove(ticket);
    }
  }

  private Answer refuse(Call call, RefusalReason reason) {
    log(call, true, reason.word());
    return new Answer.Ended(new AttemptEnd.Refused(reason));
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
