package io.hemlockbend.node.rollout;

import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.brake.BrakeDetector;
import io.hemlockbend.core.claim.ClaimCleanup;
import io.hemlockbend.core.evidence.EvidenceScope;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.lease.HeldLease;
import io.hemlockbend.core.lease.LeaseCandidates;
import io.hemlockbend.core.lease.LeaseKeeper;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.rollout.MoveController;
import io.hemlockbend.core.rollout.RolloutDecision;
import io.hemlockbend.node.control.ControlTask;
import io.hemlockbend.node.log.DecisionListener;
import io.hemlockbend.platform.TableService;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Sends this node's evidence to the candidates for the lease, brakes bad versions based on the
 * evidence collected here, and commits the steps of moves while this node holds the lease.
 */
public final class RolloutTask implements ControlTask {
  private static final long DECISION_INTERVAL_MILLIS = 250;
  private static final long CANDIDATE_INTERVAL_MILLIS = 1_000;

  private final NodeId self;
  private final MeshAccess mesh;
  private final EvidenceInbox inbox;
  private final ChangeCommitter committer;
  private final DecisionListener decisions;
  private final Executor control;
  private final LeaseDriver lease;
  private final ClaimCleanupDriver cleanup;
  private final Clock clock;
  private final EvidenceScope scope = new EvidenceScope();
  private final EvidenceWindow window = new EvidenceWindow();
  private final MoveController controller = new MoveController(window);
  private List<NodeId> candidates = List.of();
  private long candidatesMillis;
  private long decidedMillis;
  private boolean committing;

  /**
   * Creates the task.
   *
   * @param self this node
   * @param mesh gives access to the control state
   * @param inbox collects this node's evidence
   * @param committer commits changes
   * @param decisions receives each decision
   * @param control executes tasks on the control thread
   * @param keeper acquires and renews the lease
   * @param claimCleanup finds expired claims
   * @param table the platform's table
   * @param clock the time source
   */
  public RolloutTask(
      NodeId self,
      MeshAccess mesh,
      EvidenceInbox inbox,
      ChangeCommitter committer,
      DecisionListener decisions,
      Executor control,
      LeaseKeeper keeper,
      ClaimCleanup claimCleanup,
      TableService table,
      Clock clock) {
    this.self = self;
    this.mesh = mesh;
    this.inbox = inbox;
    this.committer = committer;
    this.decisions = decisions;
    this.control = control;
    this.lease = new LeaseDriver(keeper, table, control, clock);
    this.cleanup = new ClaimCleanupDriver(claimCleanup, table, control, clock);
    this.clock = clock;
  }

  @Override
  public void tick(long nowMillis) {
    updateCandidates(nowMillis);
    inbox.report(nowMillis).ifPresent(report -> sendToCandidates(filter(report, nowMillis)));
    lease.tick(mesh.mayAct() && candidates.contains(self), committing, nowMillis);
    if (nowMillis - decidedMillis < DECISION_INTERVAL_MILLIS || !mesh.mayAct()) {
      return;
    }
    decidedMillis = nowMillis;
    window.expire(nowMillis);
    brakeBadVersions(nowMillis);
    lease
        .held(nowMillis)
        .ifPresent(
            held -> {
              decide(held, nowMillis);
              cleanup.tick(nowMillis);
            });
  }

  @Override
  public void received(PeerMessage message, long nowMillis) {
    if (message instanceof EvidenceReport report) {
      window.accept(report, nowMillis);
    }
  }

  @Override
  public void applied(Configuration configuration, long nowMillis) {
    scope.onConfiguration(configuration, nowMillis);
    controller.onConfiguration(configuration, nowMillis);
  }

  /** Selects the candidates only once a second, since the selection visits every member. */
  private void updateCandidates(long nowMillis) {
    if (nowMillis - candidatesMillis < CANDIDATE_INTERVAL_MILLIS) {
      return;
    }
    candidatesMillis = nowMillis;
    candidates = LeaseCandidates.select(mesh.members());
  }

  private EvidenceReport filter(EvidenceReport report, long nowMillis) {
    List<RouteEvidence> inScope =
        report.evidence().stream()
            .filter(evidence -> scope.includes(evidence.key().service(), nowMillis))
            .toList();
    return new EvidenceReport(report.sender(), report.sequence(), inScope);
  }

  private void sendToCandidates(EvidenceReport report) {
    if (report.evidence().isEmpty()) {
      return;
    }
    window.accept(report, clock.millis());
    mesh.members().stream()
        .filter(member -> candidates.contains(member.id()) && !member.id().equals(self))
        .forEach(member -> mesh.send(new Outbound(member.control(), report)));
  }

  private void brakeBadVersions(long nowMillis) {
    List<Brake> found =
        BrakeDetector.detect(mesh.configuration(), window, mesh.brakes(), nowMillis);
    if (found.isEmpty()) {
      return;
    }
    found.forEach(brake -> log(brake.key(), true, "brake: " + brake.reason()));
    mesh.brake(found);
  }

  private void decide(HeldLease held, long nowMillis) {
    if (committing) {
      return;
    }
    controller.decide(mesh.brakes(), this::ready, nowMillis).stream()
        .filter(decision -> decision.change().isPresent())
        .findFirst()
        .ifPresent(decision -> commit(decision, held));
  }

  private void commit(RolloutDecision decision, HeldLease held) {
    committing = true;
    committer
        .commit(mesh, List.of(decision.change().orElseThrow()), List.of(held.condition()))
        .whenCompleteAsync((outcome, failure) -> committed(decision, outcome, failure), control);
  }

  private void committed(RolloutDecision decision, CommitOutcome outcome, Throwable failure) {
    committing = false;
    boolean accepted = failure == null && outcome instanceof CommitOutcome.Accepted;
    String result =
        accepted ? "accepted" : "not accepted: " + (failure == null ? outcome : failure);
    decisions.decided(
        new DecisionRecord(
            clock.millis(),
            DecisionKind.PLACE,
            Optional.empty(),
            Optional.empty(),
            versionOf(decision),
            Optional.empty(),
            !accepted,
            decision.change().orElseThrow() + ": " + decision.reason() + ": " + result));
  }

  private static Optional<VersionKey> versionOf(RolloutDecision decision) {
    return switch (decision) {
      case RolloutDecision.Advance advance ->
          Optional.of(new VersionKey(advance.step().service(), advance.step().to()));
      case RolloutDecision.TakeBack takeBack -> Optional.of(takeBack.takeBack().key());
      case RolloutDecision.FinishRestore finish -> Optional.empty();
      case RolloutDecision.Wait wait -> Optional.empty();
    };
  }

  private int ready(VersionKey key) {
    Collection<Member> members = mesh.members();
    return (int) members.stream().filter(member -> ready(member, key)).count();
  }

  private boolean ready(Member member, VersionKey key) {
    boolean withdrawn =
        mesh.configuration().domains().get(member.domain()) instanceof DomainState.Withdrawn;
    return member.status() == MemberStatus.ALIVE
        && !withdrawn
        && member.endpoint().filter(endpoint -> serves(endpoint, key)).isPresent();
  }

  private static boolean serves(Endpoint endpoint, VersionKey key) {
    return endpoint.state() == EndpointState.READY && endpoint.key().equals(key);
  }

  private void log(VersionKey key, boolean refused, String reason) {
    decisions.decided(
        new DecisionRecord(
            clock.millis(),
            DecisionKind.PLACE,
            Optional.empty(),
            Optional.empty(),
            Optional.of(key),
            Optional.empty(),
            refused,
            reason));
  }
}
