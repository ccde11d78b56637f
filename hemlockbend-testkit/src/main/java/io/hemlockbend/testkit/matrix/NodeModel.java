package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.AdmissionChanges;
import io.hemlockbend.core.admission.AdmissionController;
import io.hemlockbend.core.admission.AdmissionDecision;
import io.hemlockbend.core.admission.AdmissionGate;
import io.hemlockbend.core.admission.AdmissionRequest;
import io.hemlockbend.core.admission.Dropped;
import io.hemlockbend.core.admission.Grant;
import io.hemlockbend.core.admission.PauseFence;
import io.hemlockbend.core.admission.Permit;
import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.admission.Ticket;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.claim.ClaimRefusal;
import io.hemlockbend.core.drain.DrainState;
import io.hemlockbend.core.drain.DrainTracker;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.quarantine.CrashTracker;
import io.hemlockbend.core.quarantine.QuarantineList;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.AttemptEnd;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Models the node beside an upstream: admission, claims, crash reports and drain. */
final class NodeModel implements UpstreamModel.Listener {
  private static final long TICK_MILLIS = 20;
  private static final long CRASH_REPORT_DELAY_MILLIS = 50;
  private static final long FENCE_REOPEN_DELAY_MILLIS = 5;

  final UpstreamModel upstream;
  private final Mesh mesh;
  private final ProcessModel process;
  private final Map<Ticket, Work> queued = new HashMap<>();
  private final Map<Send, Work> openWork = new HashMap<>();
  private final int slots;
  private AdmissionController admission;
  private NodeClaims claims;
  private CrashTracker crashes;
  private QuarantineList quarantine = new QuarantineList();
  private DrainTracker drain;
  private PauseFence fence;
  private boolean upstreamUp = true;
  private boolean draining;
  private boolean withdrawalCommitted;
  private boolean withdrawn;

  NodeModel(UpstreamModel upstream, Mesh mesh, int slots) {
    this.upstream = upstream;
    this.mesh = mesh;
    this.process = new ProcessModel(mesh.queue());
    this.slots = slots;
    start();
  }

  UpstreamId id() {
    return upstream.id;
  }

  int currentLimit() {
    return admission.currentLimit();
  }

  boolean alive() {
    return process.alive();
  }

  QuarantineList quarantine() {
    return quarantine;
  }

  ProcessModel process() {
    return process;
  }

  /** Kills the process; unless it drains, it restarts after the restart time without its state. */
  void kill() {
    process.kill();
    queued.clear();
    List<Work> aborted = List.copyOf(openWork.values());
    openWork.clear();
    aborted.forEach(work -> mesh.breakConnection(work.attempt));
    upstream.cancelAll();
    mesh.announce(id(), false);
    mesh.queue().schedule(mesh.sizes().restartMillis(), this::restart);
  }

  void drain() {
    draining = true;
    drain.drain(mesh.queue().now());
    closeAdmission();
  }

  /** Commits the withdrawal of the failure domain; this process applies it after propagation. */
  void withdraw() {
    withdrawalCommitted = true;
    mesh.queue().schedule(Mesh.MAX_PROPAGATION_MILLIS, this::traceClosed);
    announceClosed();
    process.deliver(
        mesh.drawPropagationMillis(),
        () -> {
          withdrawn = true;
          apply(admission.gate(gate(), mesh.queue().now()));
        });
  }

  /** Receives the request of an attempt. */
  void receive(SendAttempt attempt) {
    mesh.stepReached(Step.ADMIT, attempt.send, upstream);
    process.run(() -> admit(attempt));
  }

  /** Handles the closing of the connection of an attempt by its entry. */
  void cancelled(SendAttempt attempt) {
    Work work = openWork.get(attempt.send);
    if (work != null && work.attempt == attempt) {
      abort(work, RunOutcome.CANCELLED, new AttemptEnd.TimedOut());
    }
  }

  @Override
  public void answerStarted(UpstreamModel.Run run) {
    process.deliver(
        0,
        () -> {
          Work work = openWork.get(run.send);
          if (work != null && run.send.request.large()) {
            work.answerStarted = true;
            mesh.reply(work.attempt, new SendAttempt.Reply.FirstPart());
          }
        });
  }

  @Override
  public void runEnded(UpstreamModel.Run run, UpstreamModel.End end) {
    process.deliver(0, () -> handleRunEnd(run, end));
  }

  /** Runs work that holds a slot and, if it is keyed, a claim. */
  void run(Work work) {
    work.stage = Work.Stage.RUNNING;
    mesh.stepReached(Step.RUN, work.send(), upstream);
    process.run(
        () -> {
          if (openWork.get(work.send()) == work) {
            recheckAndSend(work);
          }
        });
  }

  /** Replies to the attempt and releases the slot if the work holds one. */
  void finish(Work work, RunOutcome outcome, SendAttempt.Reply reply) {
    work.stage = Work.Stage.ENDED;
    openWork.remove(work.send());
    long now = mesh.queue().now();
    if (work.permit != null) {
      if (work.countedInDrain) {
        drain.end();
      }
      apply(admission.release(work.permit, outcome, now - work.startedMillis, now));
    }
    mesh.reply(work.attempt, reply);
  }

  private void recheckAndSend(Work work) {
    long now = mesh.queue().now();
    Optional<RefusalReason> refused =
        fence.closed(now)
            ? Optional.of(RefusalReason.NOT_READY)
            : admission.recheck(request(work.send()), now);
    if (refused.isPresent()) {
      claims.notSent(work);
      AttemptEnd end = new AttemptEnd.Refused(refused.get());
      finish(work, RunOutcome.NOT_SENT, new SendAttempt.Reply.Failed(end));
      return;
    }
    crashes.started(work.send().request.id());
    long admittedMillis = work.startedMillis;
    work.startedMillis = now;
    upstream.run(work.send(), admittedMillis, this);
  }

  private void closeAdmission() {
    traceClosed();
    announceClosed();
    process.run(() -> apply(admission.gate(gate(), mesh.queue().now())));
  }

  private void announceClosed() {
    if (mesh.policies().refusesOnceClosed()) {
      mesh.announce(id(), false);
    }
  }

  private void traceClosed() {
    mesh.trace(new TraceEvent.Closed(mesh.queue().now(), id()));
  }

  private void start() {
    long now = mesh.queue().now();
    withdrawn = withdrawalCommitted;
    admission =
        new AdmissionController(mesh.policies().admission(slots), gate(), upstream.start(), now);
    claims = new NodeClaims(mesh, this, id() + ":" + process.starts());
    crashes = new CrashTracker(id());
    drain = mesh.policies().drain();
    fence = mesh.policies().fence(now);
    process.deliver(TICK_MILLIS, this::tick);
  }

  private void restart() {
    if (draining) {
      return;
    }
    process.restart();
    quarantine = new QuarantineList();
    quarantine.merge(mesh.knownReports(), mesh.queue().now());
    upstreamUp = upstream.alive();
    start();
    mesh.announce(id(), upstreamUp && !withdrawalCommitted);
  }

  private void tick() {
    long now = mesh.queue().now();
    fence.renew(now);
    if (fence.closed(now)) {
      process.deliver(FENCE_REOPEN_DELAY_MILLIS, () -> fence.reopen(mesh.queue().now()));
    }
    checkUpstream();
    apply(admission.expire(now));
    claims.expire(now);
    for (Work work : List.copyOf(openWork.values())) {
      if (now >= work.send().deadlineMillis) {
        abort(work, RunOutcome.TIMED_OUT, new AttemptEnd.TimedOut());
      }
    }
    if (draining && drain.state(now) instanceof DrainState.Done(int aborted)) {
      mesh.trace(new TraceEvent.DrainDone(now, aborted));
      kill();
      return;
    }
    process.deliver(TICK_MILLIS, this::tick);
  }

  private void checkUpstream() {
    if (upstream.alive() != upstreamUp) {
      upstreamUp = upstream.alive();
      admission.started(upstream.start(), mesh.queue().now());
      apply(admission.gate(gate(), mesh.queue().now()));
      mesh.announce(id(), upstreamUp && !draining && !withdrawalCommitted);
    }
  }

  private AdmissionGate gate() {
    EndpointState state = upstreamUp ? EndpointState.READY : EndpointState.DOWN;
    boolean refuses = mesh.policies().refusesOnceClosed();
    EndpointState announced = draining && refuses ? EndpointState.DRAINING : state;
    return new AdmissionGate(announced, Mesh.VERSION, withdrawn && refuses, false, 1);
  }

  private void admit(SendAttempt attempt) {
    if (fence.closed(mesh.queue().now())) {
      AttemptEnd end = new AttemptEnd.Refused(RefusalReason.NOT_READY);
      mesh.reply(attempt, new SendAttempt.Reply.Failed(end));
      return;
    }
    Work work = new Work(attempt);
    switch (admission.offer(request(attempt.send), mesh.queue().now())) {
      case AdmissionDecision.Refused(var reason) ->
          mesh.reply(attempt, new SendAttempt.Reply.Failed(new AttemptEnd.Refused(reason)));
      case AdmissionDecision.Admitted(Permit permit) -> admitted(work, permit);
      case AdmissionDecision.Queued(Ticket ticket, List<Dropped> shed) -> {
        work.ticket = ticket;
        openWork.put(attempt.send, work);
        queued.put(ticket, work);
        shed.forEach(this::dropped);
      }
    }
  }

  private AdmissionRequest request(Send send) {
    Standing reported = quarantine.standing(send.request.id(), mesh.queue().now());
    Standing standing = reported == Standing.CLEAR && send.alone ? Standing.SUSPECT : reported;
    return new AdmissionRequest(
        send.request.id(),
        Mesh.ROUTE,
        Mesh.VERSION,
        send.request.priority(),
        send.deadlineMillis,
        mesh.policies().standing(standing));
  }

  private void admitted(Work work, Permit permit) {
    openWork.put(work.send(), work);
    work.permit = permit;
    work.startedMillis = mesh.queue().now();
    work.countedInDrain = drain.begin();
    mesh.stepReached(Step.CLAIM, work.send(), upstream);
    process.run(() -> claims.begin(work));
  }

  private void apply(AdmissionChanges changes) {
    for (Grant grant : changes.granted()) {
      admitted(queued.remove(grant.ticket()), grant.permit());
    }
    changes.dropped().forEach(this::dropped);
  }

  private void dropped(Dropped dropped) {
    Work work = queued.remove(dropped.ticket());
    AttemptEnd end = new AttemptEnd.Refused(dropped.reason());
    finish(work, RunOutcome.NOT_SENT, new SendAttempt.Reply.Failed(end));
  }

  private void abort(Work work, RunOutcome outcome, AttemptEnd end) {
    switch (work.stage) {
      case WAITING -> {
        queued.remove(work.ticket);
        admission.cancel(work.ticket);
        AttemptEnd late = new AttemptEnd.Refused(RefusalReason.DEADLINE);
        finish(work, RunOutcome.NOT_SENT, new SendAttempt.Reply.Failed(late));
      }
      case CLAIMING -> {
        claims.abandon(work);
        AttemptEnd late = new AttemptEnd.NotClaimed(ClaimRefusal.CLAIM_TOO_OLD);
        finish(work, RunOutcome.NOT_SENT, new SendAttempt.Reply.Failed(late));
      }
      default -> {
        upstream.cancel(work.send());
        crashes.answered(work.send().request.id());
        claims.broken(work);
        finish(work, outcome, new SendAttempt.Reply.Failed(end));
      }
    }
  }

  private void handleRunEnd(UpstreamModel.Run run, UpstreamModel.End end) {
    Work work = openWork.get(run.send);
    if (work == null || work.stage != Work.Stage.RUNNING) {
      return;
    }
    switch (end) {
      case ANSWERED -> {
        crashes.answered(run.send.request.id());
        quarantine.answeredAlone(run.send.request.id());
        claims.finished(work);
        finish(
            work, RunOutcome.ANSWERED, new SendAttempt.Reply.Complete(run.send.request.number()));
      }
      case OVERLOADED -> {
        crashes.answered(run.send.request.id());
        claims.broken(work);
        SendAttempt.Reply reply = new SendAttempt.Reply.Failed(new AttemptEnd.Overloaded());
        finish(work, RunOutcome.OVERLOADED, reply);
      }
      case REFUSED -> {
        crashes.answered(run.send.request.id());
        claims.notSent(work);
        SendAttempt.Reply reply = new SendAttempt.Reply.Failed(new AttemptEnd.NotConnected());
        finish(work, RunOutcome.NOT_SENT, reply);
      }
      case BROKEN -> broken(work);
      default -> throw new IllegalStateException("unknown end " + end);
    }
  }

  private void broken(Work work) {
    crashes.connectionBroken(work.send().request.id(), mesh.queue().now());
    claims.broken(work);
    AttemptEnd end =
        work.answerStarted
            ? new AttemptEnd.Truncated(true)
            : new AttemptEnd.Broken(work.permit.alone());
    finish(work, RunOutcome.BROKEN, new SendAttempt.Reply.Failed(end));
    process.deliver(CRASH_REPORT_DELAY_MILLIS, this::reportCrash);
  }

  private void reportCrash() {
    List<Suspicion> reports = crashes.crashed(quarantine, mesh.queue().now());
    mesh.gossip(quarantine.merge(reports, mesh.queue().now()));
  }
}
