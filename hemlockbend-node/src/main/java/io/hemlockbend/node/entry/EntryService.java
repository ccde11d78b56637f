package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.quarantine.Standing;
import io.hemlockbend.core.retry.Attempt;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.core.retry.RetryDecision;
import io.hemlockbend.core.retry.RetryPolicy;
import io.hemlockbend.core.routing.Candidate;
import io.hemlockbend.core.routing.Exclusions;
import io.hemlockbend.core.routing.Router;
import io.hemlockbend.core.routing.RoutingDecision;
import io.hemlockbend.core.routing.RoutingRefusal;
import io.hemlockbend.core.routing.RoutingRequest;
import io.hemlockbend.core.routing.RoutingTable;
import io.hemlockbend.node.TrafficView;
import io.hemlockbend.node.admission.AdmissionService;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.forward.ErrorAnswers;
import io.hemlockbend.node.forward.Forwarder;
import io.hemlockbend.node.forward.Hop;
import io.hemlockbend.node.log.DecisionListener;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Serves callers' requests: chooses an upstream, sends the request to the node beside it, and
 * retries where that is safe and within the retry budget.
 */
public final class EntryService {
  private static final long EXPECTED_ATTEMPT_MILLIS = 5;

  private final NodeId self;
  private final TrafficView view;
  private final AdmissionService local;
  private final Forwarder forwarder;
  private final DecisionListener decisions;
  private final Clock clock;
  private final long attemptTimeoutMillis;
  private final UpstreamStats stats;
  private final Router router;
  private final ConcurrentMap<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

  /**
   * Creates the service.
   *
   * @param self this node
   * @param view supplies the routing table and the standing of requests
   * @param local admits requests to this node's own upstream
   * @param forwarder sends requests to other nodes
   * @param decisions receives each decision
   * @param clock the time source
   * @param attemptTimeoutMillis longest wait for an answer's first byte when the method is safe
   */
  public EntryService(
      NodeId self,
      TrafficView view,
      AdmissionService local,
      Forwarder forwarder,
      DecisionListener decisions,
      Clock clock,
      long attemptTimeoutMillis) {
    this.self = self;
    this.view = view;
    this.local = local;
    this.forwarder = forwarder;
    this.decisions = decisions;
    this.clock = clock;
    this.attemptTimeoutMillis = attemptTimeoutMillis;
    this.stats = new UpstreamStats(clock);
    this.router = new Router(stats);
  }

  /**
   * Serves a request.
   *
   * @param incoming the request
   * @return the answer for the caller; never completes exceptionally
   */
  CompletableFuture<Answer> serve(IncomingRequest incoming) {
    if (view.standing(incoming.request()) == Standing.QUARANTINED) {
      return CompletableFuture.completedFuture(
          refuse(incoming, RoutingRefusal.QUARANTINED, Progress.START));
    }
    return attempt(incoming, Progress.START);
  }

  /** Removes the statistics of all idle upstreams except those given. */
  public void retainUpstreams(Set<UpstreamId> known) {
    stats.retainAll(known);
  }

  private record Progress(
      int attemptNumber,
      int brokenAttempts,
      Exclusions exclusions,
      boolean mayHaveRun,
      boolean suspect) {
    static final Progress START = new Progress(1, 0, Exclusions.NONE, false, false);
  }

  private CompletableFuture<Answer> attempt(IncomingRequest incoming, Progress progress) {
    Optional<RoutingTable> table = view.table();
    if (table.isEmpty()) {
      return CompletableFuture.completedFuture(
          refuse(incoming, RoutingRefusal.NOT_READY, progress));
    }
    if (clock.millis() >= incoming.deadlineMillis()) {
      return CompletableFuture.completedFuture(refuse(incoming, RoutingRefusal.DEADLINE, progress));
    }
    RoutingRequest request =
        new RoutingRequest(
            incoming.request(), incoming.path(), incoming.key(), progress.exclusions());
    RoutingDecision decision = router.decide(table.get(), request, ThreadLocalRandom.current());
    log(incoming, decision);
    return switch (decision) {
      case RoutingDecision.Forward forward -> forward(incoming, forward, progress);
      case RoutingDecision.Refuse refuse ->
          CompletableFuture.completedFuture(refused(refuse.reason(), progress));
    };
  }

  /** Returns the refusal; it must not say "not run" after an attempt that may have run. */
  private static Answer refused(RoutingRefusal reason, Progress progress) {
    if (progress.mayHaveRun()) {
      return new Answer.Failed(new AttemptEnd.Broken(false));
    }
    return ErrorAnswers.refused(reason);
  }

  private CompletableFuture<Answer> forward(
      IncomingRequest incoming, RoutingDecision.Forward forward, Progress progress) {
    Candidate candidate = forward.candidate();
    Call call = call(incoming, forward, progress);
    RetryBudget budget = budget(candidate.key().service());
    if (progress.attemptNumber() == 1) {
      synchronized (budget) {
        budget.recordCall();
      }
    }
    stats.started(candidate.upstream());
    return send(call, candidate)
        .thenCompose(answer -> answered(incoming, call, candidate, progress, answer));
  }

  private CompletableFuture<Answer> send(Call call, Candidate candidate) {
    if (candidate.node().equals(self)) {
      return local.admit(call);
    }
    long totalMillis = Math.max(1, call.deadlineMillis() - clock.millis());
    long firstByteMillis = call.safe() ? attemptTimeoutMillis : totalMillis;
    return forwarder.send(call, new Hop(candidate.mesh(), true, firstByteMillis, totalMillis));
  }

  private CompletableFuture<Answer> answered(
      IncomingRequest incoming, Call call, Candidate candidate, Progress progress, Answer answer) {
    AttemptEnd end = endOf(call, answer);
    if (end == null) {
      stats.answered(candidate.upstream());
      return CompletableFuture.completedFuture(answer);
    }
    recordFailure(candidate, end);
    RetryDecision next = decideRetry(call, progress, end);
    return switch (next) {
      case RetryDecision.RetryElsewhere elsewhere -> {
        logRetry(call, "retry-elsewhere");
        yield attempt(incoming, next(progress, elsewhere, candidate, end));
      }
      case RetryDecision.GiveUp giveUp when answer instanceof Answer.Buffered ->
          CompletableFuture.completedFuture(answer);
      case RetryDecision.GiveUp giveUp -> {
        logRetry(call, "give-up-" + giveUp.reason());
        yield CompletableFuture.completedFuture(
            new Answer.NodeError(giveUp.outcome(), giveUp.status(), giveUp.reason()));
      }
      case RetryDecision.AbortCaller abort -> CompletableFuture.completedFuture(answer);
    };
  }

  /** Returns how the attempt ended, or null when its answer goes to the caller unchanged. */
  private static AttemptEnd endOf(Call call, Answer answer) {
    return switch (answer) {
      case Answer.Failed(AttemptEnd end) -> end;
      case Answer.Buffered buffered when call.safe() && buffered.overloaded() ->
          new AttemptEnd.Overloaded();
      case Answer.Buffered buffered -> null;
      case Answer.Streamed streamed -> null;
      case Answer.NodeError error -> null;
    };
  }

  private void recordFailure(Candidate candidate, AttemptEnd end) {
    switch (end) {
      case AttemptEnd.Refused _,
          AttemptEnd.NotClaimed _,
          AttemptEnd.Duplicate _,
          AttemptEnd.KeyReused _,
          AttemptEnd.NoUpstream _,
          AttemptEnd.Overloaded _ ->
          stats.refused(candidate.upstream());
      case AttemptEnd.NotConnected _,
          AttemptEnd.Broken _,
          AttemptEnd.TimedOut _,
          AttemptEnd.Truncated _ ->
          stats.failed(candidate.upstream());
    }
  }

  private RetryDecision decideRetry(Call call, Progress progress, AttemptEnd end) {
    boolean repeatable = call.safe() && call.repeatableBody();
    boolean resendable = call.repeatableBody() || !end.mayHaveRun();
    RetryBudget budget = budget(call.version().service());
    synchronized (budget) {
      return RetryPolicy.decide(
          new Attempt(
              end,
              repeatable,
              resendable ? progress.attemptNumber() : Integer.MAX_VALUE,
              progress.brokenAttempts() + (end instanceof AttemptEnd.Broken ? 1 : 0),
              progress.mayHaveRun(),
              call.deadlineMillis(),
              EXPECTED_ATTEMPT_MILLIS),
          budget,
          clock.millis());
    }
  }

  private static Progress next(
      Progress progress,
      RetryDecision.RetryElsewhere elsewhere,
      Candidate candidate,
      AttemptEnd end) {
    Exclusions before = progress.exclusions();
    Exclusions exclusions =
        switch (elsewhere.exclusion()) {
          case UPSTREAM -> before.with(candidate.upstream());
          case FAILURE_DOMAIN -> before.with(candidate.domain());
          case VERSION -> before.with(candidate.key());
        };
    return new Progress(
        progress.attemptNumber() + 1,
        progress.brokenAttempts() + (end instanceof AttemptEnd.Broken ? 1 : 0),
        exclusions,
        progress.mayHaveRun() || end.mayHaveRun(),
        progress.suspect() || elsewhere.alone());
  }

  private static Call call(
      IncomingRequest incoming, RoutingDecision.Forward forward, Progress progress) {
    return new Call(
        incoming.method(),
        incoming.target(),
        incoming.fields(),
        incoming.body(),
        incoming.request(),
        incoming.key(),
        forward.route().name(),
        forward.candidate().key(),
        forward.candidate().upstream(),
        forward.route().priority(),
        incoming.deadlineMillis(),
        progress.suspect());
  }

  private RetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_FLOOR_PER_SECOND, clock.millis()));
  }

  private Answer refuse(IncomingRequest incoming, RoutingRefusal reason, Progress progress) {
    log(incoming, new RoutingDecision.Refuse(reason, Optional.empty(), Optional.empty()));
    return refused(reason, progress);
  }

  private void log(IncomingRequest incoming, RoutingDecision decision) {
    DecisionRecord decisionRecord =
        switch (decision) {
          case RoutingDecision.Forward forward ->
              new DecisionRecord(
                  clock.millis(),
                  DecisionKind.ROUTE,
                  Optional.of(incoming.request()),
                  Optional.of(forward.route().name()),
                  Optional.of(forward.candidate().key()),
                  Optional.of(forward.candidate().upstream()),
                  false,
                  forward.locality().text());
          case RoutingDecision.Refuse refuse ->
              new DecisionRecord(
                  clock.millis(),
                  DecisionKind.ROUTE,
                  Optional.of(incoming.request()),
                  refuse.route().map(route -> route.name()),
                  refuse.version(),
                  Optional.empty(),
                  true,
                  refuse.reason().reasonToken());
        };
    decisions.decided(decisionRecord);
  }

  private void logRetry(Call call, String reason) {
    decisions.decided(
        new DecisionRecord(
            clock.millis(),
            DecisionKind.RETRY,
            Optional.of(call.request()),
            Optional.of(call.route()),
            Optional.of(call.version()),
            Optional.of(call.upstream()),
            reason.startsWith("give-up"),
            reason));
  }
}
