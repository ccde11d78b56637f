package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.claim.ClaimPlacement;
import io.hemlockbend.core.retry.Attempt;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.RetryBudget;
import io.hemlockbend.core.retry.RetryDecision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Models an entry: chooses an upstream, sends the request, retries, and replies to the caller. */
final class EntryModel implements Entry {
  private static final long HOP_MILLIS = 1;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 500;
  private static final long CONNECT_TIMEOUT_MILLIS = 100;

  private final Mesh mesh;
  private final RetryBudget budget;
  private final Map<UpstreamId, Boolean> available = new HashMap<>();
  private final Map<UpstreamId, Integer> limits = new HashMap<>();
  private final Map<UpstreamId, List<SendAttempt>> openAttempts = new HashMap<>();
  private UpstreamId silentUpstream;
  private boolean alive = true;

  EntryModel(Mesh mesh, List<NodeModel> nodes) {
    this.mesh = mesh;
    this.budget =
        new RetryBudget(
            RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_FLOOR_PER_SECOND, mesh.queue().now());
    for (NodeModel node : nodes) {
      available.put(node.id(), true);
      openAttempts.put(node.id(), new ArrayList<>());
    }
  }

  @Override
  public boolean alive() {
    return alive;
  }

  void setAvailable(UpstreamId upstream, boolean takesWork) {
    available.put(upstream, takesWork);
  }

  /** Drops requests to and replies from an upstream's node until an attempt to it times out. */
  void silenceLink(UpstreamId upstream) {
    silentUpstream = upstream;
  }

  void kill() {
    alive = false;
    for (List<SendAttempt> attempts : openAttempts.values()) {
      for (SendAttempt attempt : List.copyOf(attempts)) {
        close(attempt);
        attempt.send.complete(new SendOutcome.ConnectionClosed());
      }
    }
  }

  @Override
  public void receive(Send send) {
    budget.recordCall();
    startAttempt(send);
  }

  /** Handles a reply on the connection of an attempt. */
  void replyReceived(SendAttempt attempt, SendAttempt.Reply reply) {
    if (attempt.node.id().equals(silentUpstream)) {
      return;
    }
    if (!attempt.open) {
      mesh.lateReply(attempt, reply);
      return;
    }
    limits.put(attempt.node.id(), attempt.node.currentLimit());
    switch (reply) {
      case SendAttempt.Reply.FirstPart _ -> attempt.partForwarded = true;
      case SendAttempt.Reply.Complete(int requestNumber) -> {
        release(attempt);
        attempt.send.complete(new SendOutcome.Answered(requestNumber, true));
      }
      case SendAttempt.Reply.Failed(AttemptEnd end) -> attemptEnded(attempt, end);
    }
  }

  /** Handles the loss of the connection of an attempt. */
  void connectionBroken(SendAttempt attempt) {
    if (!attempt.open) {
      return;
    }
    AttemptEnd broken =
        attempt.partForwarded ? new AttemptEnd.Truncated(true) : new AttemptEnd.Broken(false);
    attemptEnded(attempt, attempt.sent ? broken : new AttemptEnd.NotConnected());
  }

  /** Returns the open attempts on connections to the node of an upstream. */
  List<SendAttempt> openAttemptsTo(UpstreamId upstream) {
    return openAttempts.get(upstream);
  }

  private void startAttempt(Send send) {
    send.attempts++;
    NodeModel node = choose(send);
    if (node != null) {
      mesh.stepReached(Step.CHOOSE, send, node.upstream);
    }
    if (!alive) {
      send.complete(new SendOutcome.ConnectionClosed());
      return;
    }
    SendAttempt attempt = new SendAttempt(send, this, node);
    if (node == null) {
      attemptEnded(attempt, new AttemptEnd.NoUpstream());
      return;
    }
    openAttempts.get(node.id()).add(attempt);
    mesh.stepReached(Step.CONNECT, send, node.upstream);
    mesh.queue().schedule(HOP_MILLIS, () -> connected(attempt));
  }

  private void connected(SendAttempt attempt) {
    if (!attempt.open) {
      return;
    }
    if (!attempt.node.alive()) {
      mesh.queue()
          .schedule(
              CONNECT_TIMEOUT_MILLIS, () -> attemptEnded(attempt, new AttemptEnd.NotConnected()));
      return;
    }
    attempt.sent = true;
    boolean silent = attempt.node.id().equals(silentUpstream);
    mesh.stepReached(Step.SEND, attempt.send, attempt.node.upstream);
    long leftMillis = attempt.send.deadlineMillis - mesh.queue().now();
    mesh.queue()
        .schedule(
            Math.min(ATTEMPT_TIMEOUT_MILLIS, Math.max(0, leftMillis)), () -> timedOut(attempt));
    if (!silent && attempt.open && attempt.node.alive()) {
      attempt.node.process().deliver(HOP_MILLIS, () -> attempt.node.receive(attempt));
    } else if (!silent) {
      connectionBroken(attempt);
    }
  }

  private void timedOut(SendAttempt attempt) {
    if (attempt.open) {
      boolean truncated = attempt.partForwarded;
      silentUpstream = attempt.node.id().equals(silentUpstream) ? null : silentUpstream;
      attemptEnded(attempt, truncated ? new AttemptEnd.Truncated(true) : new AttemptEnd.TimedOut());
    }
  }

  private NodeModel choose(Send send) {
    List<NodeModel> candidates =
        mesh.nodes().stream()
            .filter(node -> available.get(node.id()) && !send.excluded.contains(node.id()))
            .toList();
    if (candidates.isEmpty()) {
      return null;
    }
    if (send.request.kind() == CallerRequest.Kind.KEYED) {
      List<UpstreamId> ids = candidates.stream().map(NodeModel::id).toList();
      UpstreamId first = ClaimPlacement.order(send.request.key(), ids).getFirst();
      return candidates.stream().filter(node -> node.id().equals(first)).findFirst().get();
    }
    NodeModel one = candidates.get(mesh.random().nextInt(candidates.size()));
    NodeModel other = candidates.get(mesh.random().nextInt(candidates.size()));
    return load(one) <= load(other) ? one : other;
  }

  /** Returns the open attempts to a node, relative to the limit that the node last reported. */
  private double load(NodeModel node) {
    return (openAttemptsTo(node.id()).size() + 1.0) / limits.getOrDefault(node.id(), 1);
  }

  private void attemptEnded(SendAttempt attempt, AttemptEnd end) {
    if (!attempt.open || !alive) {
      return;
    }
    close(attempt);
    Send send = attempt.send;
    boolean broke = end instanceof AttemptEnd.Broken || end instanceof AttemptEnd.Truncated;
    send.brokenAttempts += broke ? 1 : 0;
    Attempt ended =
        new Attempt(
            end,
            send.safe(),
            send.attempts,
            send.brokenAttempts,
            send.mayHaveRun,
            send.deadlineMillis,
            mesh.sizes().serviceMillis());
    send.mayHaveRun |= end.mayHaveRun();
    switch (mesh.policies().decide(ended, budget, mesh.queue().now())) {
      case RetryDecision.RetryElsewhere(var _, boolean alone) -> {
        send.excluded.add(attempt.node.id());
        send.alone = alone;
        startAttempt(send);
      }
      case RetryDecision.GiveUp(var outcome, int _, String reason) ->
          send.complete(new SendOutcome.Refused(outcome, reason));
      case RetryDecision.AbortCaller _ -> send.complete(new SendOutcome.ConnectionClosed());
    }
  }

  private void close(SendAttempt attempt) {
    release(attempt);
    if (attempt.sent && attempt.node.alive()) {
      attempt.node.process().deliver(HOP_MILLIS, () -> attempt.node.cancelled(attempt));
    }
  }

  private void release(SendAttempt attempt) {
    attempt.open = false;
    if (attempt.node != null) {
      openAttempts.get(attempt.node.id()).remove(attempt);
    }
  }
}
