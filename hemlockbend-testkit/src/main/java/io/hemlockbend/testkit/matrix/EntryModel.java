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

/** The node that a caller sends to: chooses an upstream, tries it, and tries again or tells. */
final class EntryModel implements Entry {
  private static final long HOP_MILLIS = 1;
  private static final long TRY_MILLIS = 500;
  private static final long CONNECT_TIMEOUT_MILLIS = 100;

  private final Mesh mesh;
  private final RetryBudget budget;
  private final Map<UpstreamId, Boolean> takesWork = new HashMap<>();
  private final Map<UpstreamId, Integer> limits = new HashMap<>();
  private final Map<UpstreamId, List<Try>> open = new HashMap<>();
  private UpstreamId silentTo;
  private boolean alive = true;

  EntryModel(Mesh mesh, List<NodeModel> nodes) {
    this.mesh = mesh;
    this.budget =
        new RetryBudget(
            RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_FLOOR_PER_SECOND, mesh.queue().now());
    for (NodeModel node : nodes) {
      takesWork.put(node.id(), true);
      open.put(node.id(), new ArrayList<>());
    }
  }

  @Override
  public boolean alive() {
    return alive;
  }

  void learn(UpstreamId upstream, boolean takes) {
    takesWork.put(upstream, takes);
  }

  /** Loses what the open connections to an upstream's node carry from now on. */
  void silence(UpstreamId upstream) {
    silentTo = upstream;
  }

  void kill() {
    alive = false;
    for (List<Try> tries : open.values()) {
      for (Try one : List.copyOf(tries)) {
        close(one);
        one.send.tell(new Tell.Cut());
      }
    }
  }

  @Override
  public void receive(Send send) {
    budget.recordCall();
    tryOnce(send);
  }

  /** Takes what comes back on the connection of a try. */
  void replied(Try attempt, Try.Reply reply) {
    if (attempt.node.id().equals(silentTo)) {
      return;
    }
    if (!attempt.open) {
      mesh.lateReply(attempt, reply);
      return;
    }
    limits.put(attempt.node.id(), attempt.node.currentLimit());
    switch (reply) {
      case Try.Reply.Part _ -> attempt.partForwarded = true;
      case Try.Reply.Whole(int ofRequest) -> {
        release(attempt);
        attempt.send.tell(new Tell.Answered(ofRequest, true));
      }
      case Try.Reply.Failed(AttemptEnd end) -> ended(attempt, end);
    }
  }

  /** The connection of a try broke. */
  void broke(Try attempt) {
    if (!attempt.open) {
      return;
    }
    AttemptEnd broken =
        attempt.partForwarded ? new AttemptEnd.Truncated(true) : new AttemptEnd.Broken(false);
    ended(attempt, attempt.sent ? broken : new AttemptEnd.NotConnected());
  }

  /** Returns the open tries on connections to a node. */
  List<Try> openTo(UpstreamId upstream) {
    return open.get(upstream);
  }

  private void tryOnce(Send send) {
    send.tries++;
    NodeModel node = choose(send);
    if (node != null) {
      mesh.step(Step.CHOOSE, send, node.upstream);
    }
    if (!alive) {
      send.tell(new Tell.Cut());
      return;
    }
    Try attempt = new Try(send, this, node);
    if (node == null) {
      ended(attempt, new AttemptEnd.NoUpstream());
      return;
    }
    open.get(node.id()).add(attempt);
    mesh.step(Step.CONNECT, send, node.upstream);
    mesh.queue().in(HOP_MILLIS, () -> connected(attempt));
  }

  private void connected(Try attempt) {
    if (!attempt.open) {
      return;
    }
    if (!attempt.node.alive()) {
      mesh.queue().in(CONNECT_TIMEOUT_MILLIS, () -> ended(attempt, new AttemptEnd.NotConnected()));
      return;
    }
    attempt.sent = true;
    boolean silent = attempt.node.id().equals(silentTo);
    mesh.step(Step.SEND, attempt.send, attempt.node.upstream);
    long leftMillis = attempt.send.deadlineMillis - mesh.queue().now();
    mesh.queue().in(Math.min(TRY_MILLIS, Math.max(0, leftMillis)), () -> timedOut(attempt));
    if (!silent && attempt.open && attempt.node.alive()) {
      attempt.node.process().deliver(HOP_MILLIS, () -> attempt.node.receive(attempt));
    } else if (!silent) {
      broke(attempt);
    }
  }

  private void timedOut(Try attempt) {
    if (attempt.open) {
      boolean cut = attempt.partForwarded;
      silentTo = attempt.node.id().equals(silentTo) ? null : silentTo;
      ended(attempt, cut ? new AttemptEnd.Truncated(true) : new AttemptEnd.TimedOut());
    }
  }

  private NodeModel choose(Send send) {
    List<NodeModel> candidates =
        mesh.nodes().stream()
            .filter(node -> takesWork.get(node.id()) && !send.excluded.contains(node.id()))
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

  /** Returns what this entry has open to a node, over the limit that the node last reported. */
  private double load(NodeModel node) {
    return (openTo(node.id()).size() + 1.0) / limits.getOrDefault(node.id(), 1);
  }

  private void ended(Try attempt, AttemptEnd end) {
    if (!attempt.open || !alive) {
      return;
    }
    close(attempt);
    Send send = attempt.send;
    boolean broke = end instanceof AttemptEnd.Broken || end instanceof AttemptEnd.Truncated;
    send.brokenTries += broke ? 1 : 0;
    Attempt known =
        new Attempt(
            end,
            send.safe(),
            send.tries,
            send.brokenTries,
            send.mayHaveRun,
            send.deadlineMillis,
            mesh.sizes().serviceMillis());
    send.mayHaveRun |= end.mayHaveRun();
    switch (mesh.policies().decide(known, budget, mesh.queue().now())) {
      case RetryDecision.RetryElsewhere(var _, boolean alone) -> {
        send.excluded.add(attempt.node.id());
        send.alone = alone;
        tryOnce(send);
      }
      case RetryDecision.GiveUp(var word, int _, String reason) ->
          send.tell(new Tell.Refused(word, reason));
      case RetryDecision.AbortCaller _ -> send.tell(new Tell.Cut());
    }
  }

  private void close(Try attempt) {
    release(attempt);
    if (attempt.sent && attempt.node.alive()) {
      attempt.node.process().deliver(HOP_MILLIS, () -> attempt.node.cancelled(attempt));
    }
  }

  private void release(Try attempt) {
    attempt.open = false;
    if (attempt.node != null) {
      open.get(attempt.node.id()).remove(attempt);
    }
  }
}
