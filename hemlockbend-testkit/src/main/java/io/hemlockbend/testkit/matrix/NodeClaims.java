package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.admission.RunOutcome;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.claim.ClaimBatch;
import io.hemlockbend.core.claim.ClaimDecision;
import io.hemlockbend.core.claim.ClaimLedger;
import io.hemlockbend.core.claim.ClaimRefusal;
import io.hemlockbend.core.claim.ClaimResolution;
import io.hemlockbend.core.claim.ClaimSettings;
import io.hemlockbend.core.claim.RequestFingerprint;
import io.hemlockbend.core.claim.StoredResponse;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.core.table.RowKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Connects the claim ledger of one node with the table. */
final class NodeClaims {
  private static final RequestFingerprint BODY = new RequestFingerprint("body");
  private static final int ANSWER_STATUS = 200;

  private final Mesh mesh;
  private final NodeModel node;
  private final ClaimLedger ledger;
  private final Map<IdempotencyKey, Work> claiming = new HashMap<>();

  NodeClaims(Mesh mesh, NodeModel node, String holder) {
    this.mesh = mesh;
    this.node = node;
    this.ledger = new ClaimLedger(ClaimSettings.DEFAULT, new NodeId(holder));
  }

  /** Claims the key of admitted work; work without a key runs at once. */
  void begin(Work work) {
    if (!work.keyed()) {
      node.run(work);
      return;
    }
    IdempotencyKey key = work.send().request.key();
    switch (ledger.begin(key, BODY, mesh.queue().now())) {
      case ClaimDecision.RunAfterClaim _ -> {
        work.stage = Work.Stage.CLAIMING;
        claiming.put(key, work);
        node.process().deliver(ClaimSettings.DEFAULT.batchWindowMillis(), this::submitDue);
      }
      case ClaimDecision.Replay _ ->
          replyWithoutRun(work, new SendAttempt.Reply.Complete(work.send().request.number()));
      case ClaimDecision.HasRun _ -> refuseDuplicate(work, ReportedOutcome.HAS_RUN);
      case ClaimDecision.InProgress _ -> refuseDuplicate(work, ReportedOutcome.IN_PROGRESS);
      case ClaimDecision.MayHaveRun _ -> refuseDuplicate(work, ReportedOutcome.MAY_HAVE_RUN);
      case ClaimDecision.KeyReused _ ->
          replyWithoutRun(work, new SendAttempt.Reply.Failed(new AttemptEnd.KeyReused()));
      case ClaimDecision.Unavailable(ClaimRefusal reason) ->
          replyWithoutRun(work, new SendAttempt.Reply.Failed(new AttemptEnd.NotClaimed(reason)));
    }
  }

  void finished(Work work) {
    if (work.keyed()) {
      StoredResponse answer = new StoredResponse(ANSWER_STATUS, "", new byte[0]);
      ledger.finished(work.send().request.key(), answer, mesh.queue().now());
    }
  }

  void broken(Work work) {
    if (work.keyed()) {
      ledger.incomplete(work.send().request.key(), mesh.queue().now());
    }
  }

  void notSent(Work work) {
    if (work.keyed()) {
      ledger.notSent(work.send().request.key(), mesh.queue().now());
    }
  }

  void abandon(Work work) {
    claiming.remove(work.send().request.key());
    ledger.abandon(work.send().request.key(), mesh.queue().now());
  }

  void expire(long nowMillis) {
    resolve(ledger.expire(nowMillis));
    submitDue();
  }

  private void submitDue() {
    for (Optional<ClaimBatch> due = poll(); due.isPresent(); due = poll()) {
      ClaimBatch batch = due.get();
      mesh.table()
          .transact(
              batch.transaction(),
              outcome -> node.process().deliver(0, () -> settled(batch.number(), outcome)));
    }
    for (IdempotencyKey key : ledger.readsDue(mesh.queue().now())) {
      mesh.table()
          .read(
              RowKey.claim(key),
              outcome ->
                  node.process()
                      .deliver(
                          0,
                          () ->
                              ledger
                                  .readBack(key, outcome, mesh.queue().now())
                                  .ifPresent(this::resolve)));
    }
  }

  private Optional<ClaimBatch> poll() {
    return ledger.poll(mesh.queue().now());
  }

  private void settled(long batch, BatchOutcome outcome) {
    resolve(ledger.settled(batch, mesh.policies().batchOutcome(outcome), mesh.queue().now()));
    submitDue();
  }

  private void resolve(List<ClaimResolution> resolutions) {
    resolutions.forEach(this::resolve);
  }

  private void resolve(ClaimResolution resolution) {
    Work work = claiming.remove(resolution.key());
    switch (resolution) {
      case ClaimResolution.Run run when work == null ->
          ledger.notSent(run.key(), mesh.queue().now());
      case ClaimResolution.Run _ -> node.run(work);
      case ClaimResolution.NotRun(IdempotencyKey _, ClaimRefusal reason) ->
          replyWithoutRun(work, new SendAttempt.Reply.Failed(new AttemptEnd.NotClaimed(reason)));
      case ClaimResolution.MayHaveRun _ -> refuseDuplicate(work, ReportedOutcome.MAY_HAVE_RUN);
    }
  }

  private void refuseDuplicate(Work work, ReportedOutcome outcome) {
    replyWithoutRun(work, new SendAttempt.Reply.Failed(new AttemptEnd.Duplicate(outcome)));
  }

  private void replyWithoutRun(Work work, SendAttempt.Reply reply) {
    if (work != null) {
      node.finish(work, RunOutcome.NOT_SENT, reply);
    }
  }
}
