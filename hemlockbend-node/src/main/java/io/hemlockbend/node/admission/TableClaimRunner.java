package io.hemlockbend.node.admission;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.claim.BatchOutcome;
import io.hemlockbend.core.claim.ClaimBatch;
import io.hemlockbend.core.claim.ClaimDecision;
import io.hemlockbend.core.claim.ClaimLedger;
import io.hemlockbend.core.claim.ClaimRefusal;
import io.hemlockbend.core.claim.ClaimResolution;
import io.hemlockbend.core.claim.ReadOutcome;
import io.hemlockbend.core.claim.StoredResponse;
import io.hemlockbend.core.retry.AttemptEnd;
import io.hemlockbend.core.retry.ReportedOutcome;
import io.hemlockbend.core.retry.ResponseHeaders;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.node.forward.Answer;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.platform.PlatformException;
import io.hemlockbend.platform.TableService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Claims idempotency keys in the platform's table before their requests run. A thread of its own
 * drives the ledger. Requests with a safe method or without a key run without a claim.
 */
public final class TableClaimRunner implements ClaimRunner, AutoCloseable {
  private static final long POLL_MILLIS = 2;

  private record Pending(
      Supplier<CompletableFuture<Answer>> run, CompletableFuture<Answer> answer) {

    void end(AttemptEnd end) {
      answer.complete(new Answer.Failed(end));
    }
  }

  private final ClaimLedger ledger;
  private final TableService table;
  private final Clock clock;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("claims").factory());
  private final Map<IdempotencyKey, Pending> pending = new HashMap<>();
  private boolean polling;

  /**
   * Creates a runner.
   *
   * @param ledger tracks the state of each key
   * @param table the platform's table
   * @param clock the time source
   */
  public TableClaimRunner(ClaimLedger ledger, TableService table, Clock clock) {
    this.ledger = ledger;
    this.table = table;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Answer> run(Call call, Supplier<CompletableFuture<Answer>> run) {
    if (call.safe() || call.key().isEmpty()) {
      return run.get();
    }
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    thread.execute(() -> begin(call, call.key().get(), new Pending(run, answer)));
    return answer;
  }

  private void begin(Call call, IdempotencyKey key, Pending request) {
    ClaimDecision decision = ledger.begin(key, Fingerprints.of(call), clock.millis());
    switch (decision) {
      case ClaimDecision.RunAfterClaim run -> {
        pending.put(key, request);
        poll();
      }
      case ClaimDecision.Replay(StoredResponse stored) -> request.answer().complete(replay(stored));
      case ClaimDecision.HasRun _ -> request.end(new AttemptEnd.Duplicate(ReportedOutcome.HAS_RUN));
      case ClaimDecision.InProgress _ ->
          request.end(new AttemptEnd.Duplicate(ReportedOutcome.IN_PROGRESS));
      case ClaimDecision.MayHaveRun _ ->
          request.end(new AttemptEnd.Duplicate(ReportedOutcome.MAY_HAVE_RUN));
      case ClaimDecision.KeyReused _ -> request.end(new AttemptEnd.KeyReused());
      case ClaimDecision.Unavailable(ClaimRefusal reason) ->
          request.end(new AttemptEnd.NotClaimed(reason));
    }
  }

  private void poll() {
    if (polling) {
      return;
    }
    polling = true;
    thread.execute(this::step);
  }

  private void step() {
    long now = clock.millis();
    ledger.poll(now).ifPresent(this::send);
    ledger.readsDue(now).forEach(this::read);
    resolve(ledger.expire(now));
    polling = !pending.isEmpty();
    if (polling) {
      thread.schedule(this::step, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void send(ClaimBatch batch) {
    table
        .transact(batch.transaction())
        .handle((outcome, failure) -> failure == null ? answered(outcome) : failed(failure))
        .thenAcceptAsync(
            outcome -> resolve(ledger.settled(batch.number(), outcome, clock.millis())), thread);
  }

  private static BatchOutcome answered(TransactionOutcome outcome) {
    return new BatchOutcome.Answered(outcome);
  }

  private static BatchOutcome failed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PlatformException.NotApplied
        ? new BatchOutcome.NotApplied()
        : new BatchOutcome.Unknown();
  }

  private void read(IdempotencyKey key) {
    table
        .read(RowKey.claim(key))
        .handle(
            (row, failure) ->
                failure == null
                    ? new ReadOutcome.Read(row)
                    : (ReadOutcome) new ReadOutcome.Failed())
        .thenAcceptAsync(
            outcome ->
                ledger
                    .readBack(key, outcome, clock.millis())
                    .ifPresent(resolution -> resolve(List.of(resolution))),
            thread);
  }

  private void resolve(List<ClaimResolution> resolutions) {
    for (ClaimResolution resolution : resolutions) {
      Pending request = pending.remove(resolution.key());
      switch (resolution) {
        case ClaimResolution.Run(IdempotencyKey key) -> runNow(key, request);
        case ClaimResolution.NotRun(IdempotencyKey key, ClaimRefusal reason) ->
            request.end(new AttemptEnd.NotClaimed(reason));
        case ClaimResolution.MayHaveRun(IdempotencyKey key) ->
            request.end(new AttemptEnd.Duplicate(ReportedOutcome.MAY_HAVE_RUN));
      }
    }
  }

  private void runNow(IdempotencyKey key, Pending request) {
    request
        .run()
        .get()
        .thenAcceptAsync(
            answer -> {
              recordResult(key, answer);
              request.answer().complete(answer);
            },
            thread);
  }

  private void recordResult(IdempotencyKey key, Answer answer) {
    long now = clock.millis();
    switch (answer) {
      case Answer.Buffered buffered -> ledger.finished(key, storedResponse(buffered), now);
      case Answer.Streamed streamed -> ledger.finished(key, now);
      case Answer.Failed(AttemptEnd end) when !end.mayHaveRun() -> ledger.notSent(key, now);
      case Answer.Failed failed -> ledger.incomplete(key, now);
      case Answer.NodeError error -> ledger.incomplete(key, now);
    }
  }

  private static StoredResponse storedResponse(Answer.Buffered answer) {
    String type = answer.fields().get(HttpHeader.CONTENT_TYPE);
    return new StoredResponse(answer.status(), type == null ? "" : type, answer.body());
  }

  private static Answer replay(StoredResponse stored) {
    HttpFields.Mutable fields = HttpFields.build();
    if (!stored.contentType().isEmpty()) {
      fields.put(HttpHeader.CONTENT_TYPE, stored.contentType());
    }
    fields.put(ResponseHeaders.REPLAYED, "true");
    return new Answer.Buffered(stored.status(), fields, stored.body());
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
