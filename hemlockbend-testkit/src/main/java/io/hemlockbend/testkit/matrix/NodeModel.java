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

/** The node beside an upstream: drives the core's admission, claims, crash reports and drain. */
final class NodeModel implements UpstreamModel.Listener {
  private static final long TICK_MILLIS = 20;
  private static final long NOTICE_MILLIS = 50;
  private static final long CATCH_UP_MILLIS = 5;

  final UpstreamModel upstream;
  private final Mesh mesh;
  private final ProcessModel process;
  private final Map<Ticket, Work> queued = new HashMap<>();
  private final Map<Send, Work> works = new HashMap<>();
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

  /** Returns the process that it runs in. */
  ProcessModel process() {
    return process;
  }

  /** Kills the process; it starts again a while later and knows nothing. */
  void kill() {
    process.kill();
    queued.clear();
    List<Work> lost = List.copyOf(works.values());
    works.clear();
    lost.forEach(work -> mesh.breakTry(work.attempt));
    upstream.cancelAll();
    mesh.announce(id(), false);
    mesh.queue().in(mesh.sizes().restartMillis(), this::restart);
  }

  void drain() {
    draining = true;
    drain.drain(mesh.queue().now());
    closed();
  }

  /** Commits the withdrawal of its failure domain, which comes to this process like to others. */
  void withdraw() {
    withdrawalCommitted = true;
    mesh.queue().in(Mesh.SPREAD_MILLIS, this::traceClosed);
    announceClosed();
    process.deliver(
        mesh.spread(),
        () -> {
          withdrawn = true;
          apply(admission.gate(gate(), mesh.queue().now()));
        });
  }

  /** Takes a try whose bytes have come. */
  void receive(Try attempt) {
    mesh.step(Step.ADMIT, attempt.send, upstream);
    process.run(() -> admit(attempt));
  }

  /** The entry closed the connection of a try. */
  void cancelled(Try attempt) {
    Work work = works.get(attempt.send);
    if (work != null && work.attempt == attempt) {
      giveUp(work, RunOutcome.CANCELLED, new AttemptEnd.TimedOut());
    }
  }

  @Override
  public void began(UpstreamModel.Run run) {
    process.deliver(
        0,
        () -> {
          Work work = works.get(run.send);
          if (work != null && run.send.request.large()) {
            work.began = true;
            mesh.reply(work.attempt, new Try.Reply.Part());
          }
        });
  }

  @Override
  public void ended(UpstreamModel.Run run, UpstreamModel.End end) {
    process.deliver(0, () -> runEnded(run, end));
  }

  /** Runs work that has its slot and, when it needs one, its claim. */
  void run(Work work) {
    work.stage = Work.Stage.RUNNING;
    mesh.step(Step.RUN, work.send(), upstream);
    process.run(
        () -> {
          if (works.get(work.send()) == work) {
            sendUnlessLate(work);
          }
        });
  }

  /** Ends work and frees its slot. */
  void finish(Work work, RunOutcome outcome, Try.Reply reply) {
    work.stage = Work.Stage.ENDED;
    works.remove(work.send());
    long now = mesh.queue().now();
    if (work.permit != null) {
      if (work.counted) {
        drain.end();
      }
      apply(admission.release(work.permit, outcome, now - work.startedMillis, now));
    }
    mesh.reply(work.attempt, reply);
  }

  private void sendUnlessLate(Work work) {
    long now = mesh.queue().now();
    Optional<RefusalReason> refused =
        fence.closed(now)
            ? Optional.of(RefusalReason.NOT_READY)
            : admission.recheck(request(work.send()), now);
    if (refused.isPresent()) {
      claims.notSent(work);
      AttemptEnd end = new AttemptEnd.Refused(refused.get());
      finish(work, RunOutcome.NOT_SENT, new Try.Reply.Failed(end));
      return;
    }
    crashes.started(work.send().request.id());
    long admittedMillis = work.startedMillis;
    work.startedMillis = now;
    upstream.run(work.send(), admittedMillis, this);
  }

  private void closed() {
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
      process.deliver(CATCH_UP_MILLIS, () -> fence.reopen(mesh.queue().now()));
    }
    noticeUpstream();
    apply(admission.expire(now));
    claims.expire(now);
    for (Work work : List.copyOf(works.values())) {
      if (now >= work.send().deadlineMillis) {
        giveUp(work, RunOutcome.TIMED_OUT, new AttemptEnd.TimedOut());
      }
    }
    if (draining && drain.state(now) instanceof DrainState.Done(int cut)) {
      mesh.trace(new TraceEvent.DrainDone(now, cut));
      kill();
      return;
    }
    process.deliver(TICK_MILLIS, this::tick);
  }

  private void noticeUpstream() {
    if (upstream.alive() != upstreamUp) {
      upstreamUp = upstream.alive();
      admission.started(upstream.start(), mesh.queue().now());
      apply(admission.gate(gate(), mesh.queue().now()));
      mesh.announce(id(), upstreamUp && !draining && !withdrawalCommitted);
    }
  }

  private AdmissionGate gate() {
    EndpointState state = upstreamUp ? EndpointState.READY : EndpointState.DOWN;
    boolean told = mesh.policies().refusesOnceClosed();
    EndpointState leaving = draining && told ? EndpointState.DRAINING : state;
    return new AdmissionGate(leaving, Mesh.VERSION, withdrawn && told, false, 1);
  }

  private void admit(Try attempt) {
    if (fence.closed(mesh.queue().now())) {
      AttemptEnd end = new AttemptEnd.Refused(RefusalReason.NOT_READY);
      mesh.reply(attempt, new Try.Reply.Failed(end));
      return;
    }
    Work work = new Work(attempt);
    switch (admission.offer(request(attempt.send), mesh.queue().now())) {
      case AdmissionDecision.Refused(var reason) ->
          mesh.reply(attempt, new Try.Reply.Failed(new AttemptEnd.Refused(reason)));
      case AdmissionDecision.Admitted(Permit permit) -> admitted(work, permit);
      case AdmissionDecision.Queued(Ticket ticket, List<Dropped> shed) -> {
        work.ticket = ticket;
        works.put(attempt.send, work);
        queued.put(ticket, work);
        shed.forEach(this::dropped);
      }
    }
  }

  private AdmissionRequest request(Send send) {
    Standing known = quarantine.standing(send.request.id(), mesh.queue().now());
    Standing standing = known == Standing.CLEAR && send.alone ? Standing.SUSPECT : known;
    return new AdmissionRequest(
        send.request.id(),
        Mesh.ROUTE,
        Mesh.VERSION,
        send.request.priority(),
        send.deadlineMillis,
        mesh.policies().standing(standing));
  }

  private void admitted(Work work, Permit permit) {
    works.put(work.send(), work);
    work.permit = permit;
    work.startedMillis = mesh.queue().now();
    work.counted = drain.begin();
    mesh.step(Step.CLAIM, work.send(), upstream);
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
    finish(work, RunOutcome.NOT_SENT, new Try.Reply.Failed(end));
  }

  private void giveUp(Work work, RunOutcome outcome, AttemptEnd end) {
    switch (work.stage) {
      case WAITING -> {
        queued.remove(work.ticket);
        admission.cancel(work.ticket);
        AttemptEnd late = new AttemptEnd.Refused(RefusalReason.DEADLINE);
        finish(work, RunOutcome.NOT_SENT, new Try.Reply.Failed(late));
      }
      case CLAIMING -> {
        claims.abandon(work);
        AttemptEnd late = new AttemptEnd.NotClaimed(ClaimRefusal.CLAIM_TOO_OLD);
        finish(work, RunOutcome.NOT_SENT, new Try.Reply.Failed(late));
      }
      default -> {
        upstream.cancel(work.send());
        crashes.answered(work.send().request.id());
        claims.broken(work);
        finish(work, outcome, new Try.Reply.Failed(end));
      }
    }
  }

  private void runEnded(UpstreamModel.Run run, UpstreamModel.End end) {
    Work work = works.get(run.send);
    if (work == null || work.stage != Work.Stage.RUNNING) {
      return;
    }
    switch (end) {
      case ANSWERED -> {
        crashes.answered(run.send.request.id());
        quarantine.answeredAlone(run.send.request.id());
        claims.finished(work);
        finish(work, RunOutcome.ANSWERED, new Try.Reply.Whole(run.send.request.number()));
      }
      case OVERLOADED -> {
        crashes.answered(run.send.request.id());
        claims.broken(work);
        Try.Reply reply = new Try.Reply.Failed(new AttemptEnd.Overloaded());
        finish(work, RunOutcome.OVERLOADED, reply);
      }
      case REFUSED -> {
        crashes.answered(run.send.request.id());
        claims.notSent(work);
        Try.Reply reply = new Try.Reply.Failed(new AttemptEnd.NotConnected());
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
        work.began ? new AttemptEnd.Truncated(true) : new AttemptEnd.Broken(work.permit.alone());
    finish(work, RunOutcome.BROKEN, new Try.Reply.Failed(end));
    process.deliver(NOTICE_MILLIS, this::reportCrash);
  }

  private void reportCrash() {
    List<Suspicion> reports = crashes.crashed(quarantine, mesh.queue().now());
    mesh.gossip(quarantine.merge(reports, mesh.queue().now()));
  }
}
