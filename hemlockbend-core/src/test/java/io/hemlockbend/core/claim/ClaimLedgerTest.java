package io.hemlockbend.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimLedgerTest {
  private static final IdempotencyKey KEY = new IdempotencyKey("k1");
  private static final IdempotencyKey OTHER = new IdempotencyKey("k2");
  private static final RequestFingerprint BODY = new RequestFingerprint("body");
  private static final BatchOutcome APPLIED =
      new BatchOutcome.Answered(new TransactionOutcome.Applied());
  private static final BatchOutcome LOST = new BatchOutcome.Unknown();
  private static final NodeId SELF = new NodeId("n1:7");

  private final ClaimLedger ledger = new ClaimLedger(ClaimSettings.DEFAULT, SELF);

  @Test
  void batchesClaimsAndRunsThemOnceAfterTheWrite() {
    begin(KEY, 0);
    begin(OTHER, 3);
    assertThat(ledger.poll(4)).isEmpty();
    ClaimBatch batch = ledger.poll(5).orElseThrow();
    assertThat(batch.transaction().conditions()).hasSize(2);
    assertThat(ledger.settled(batch.number(), APPLIED, 15))
        .containsExactly(new ClaimResolution.Run(KEY), new ClaimResolution.Run(OTHER));
    assertThat(ledger.settled(batch.number(), APPLIED, 16)).isEmpty();
    assertThat(ledger.begin(KEY, BODY, 17)).isEqualTo(new ClaimDecision.InProgress());
    StoredResponse response = new StoredResponse(201, "text/plain", new byte[3]);
    ledger.finished(KEY, response, 20);
    ledger.incomplete(OTHER, 20);
    assertThat(ledger.begin(KEY, BODY, 30)).isEqualTo(new ClaimDecision.Replay(response));
    assertThat(ledger.begin(KEY, new RequestFingerprint("x"), 30))
        .isEqualTo(new ClaimDecision.KeyReused());
    assertThat(ledger.begin(OTHER, BODY, 30)).isEqualTo(new ClaimDecision.MayHaveRun());
  }

  @Test
  void conflictReadsTheClaimedKeyBackAndClaimsTheOthersAgain() {
    begin(KEY, 0);
    begin(OTHER, 0);
    ClaimBatch batch = ledger.poll(5).orElseThrow();
    BatchOutcome taken =
        new BatchOutcome.Answered(new TransactionOutcome.Conflicted(List.of(RowKey.claim(KEY))));
    assertThat(ledger.settled(batch.number(), taken, 10)).isEmpty();
    assertThat(ledger.readsDue(10)).containsExactly(KEY);
    Row row = new Row(RowKey.claim(KEY), 1, new RowValue.Claim(KEY, new NodeId("n2:1"), 0));
    assertThat(ledger.readBack(KEY, read(row), 12)).contains(new ClaimResolution.MayHaveRun(KEY));
    ClaimBatch second = ledger.poll(15).orElseThrow();
    assertThat(second.transaction().writes())
        .extracting(RowWrite::key)
        .containsExactly(RowKey.claim(OTHER));
    assertThat(ledger.settled(second.number(), APPLIED, 20))
        .containsExactly(new ClaimResolution.Run(OTHER));
  }

  @Test
  void lostResponseIsResolvedByReadingBack() {
    Row mine = claimAndLose(KEY, 0);
    assertThat(ledger.readsDue(10)).containsExactly(KEY);
    assertThat(ledger.readsDue(10)).isEmpty();
    assertThat(ledger.readBack(KEY, read(mine), 20)).contains(new ClaimResolution.Run(KEY));
    assertThat(ledger.readBack(KEY, read(mine), 21)).isEmpty();
  }

  @Test
  void absentRowIsNotRunAndALateWriteRunsOnlyUnderANewClaim() {
    Row late = claimAndLose(KEY, 0);
    ledger.readsDue(10);
    assertThat(ledger.readBack(KEY, new ReadOutcome.Read(Optional.empty()), 20))
        .contains(new ClaimResolution.NotRun(KEY, ClaimRefusal.NOT_WRITTEN));
    begin(KEY, 100);
    ClaimBatch batch = ledger.poll(105).orElseThrow();
    BatchOutcome taken =
        new BatchOutcome.Answered(new TransactionOutcome.Conflicted(List.of(late.key())));
    ledger.settled(batch.number(), taken, 110);
    ledger.readsDue(110);
    assertThat(ledger.readBack(KEY, read(late), 115)).contains(new ClaimResolution.Run(KEY));
  }

  @Test
  void rowOfAnEarlierStartOfThisNodeMayHaveRun() {
    claimAndLose(KEY, 5);
    ledger.readsDue(15);
    Row earlier = new Row(RowKey.claim(KEY), 1, new RowValue.Claim(KEY, new NodeId("n1:6"), 5));
    assertThat(ledger.readBack(KEY, read(earlier), 20))
        .contains(new ClaimResolution.MayHaveRun(KEY));
    Row sameHolderOtherTimestamp =
        new Row(RowKey.claim(OTHER), 1, new RowValue.Claim(OTHER, SELF, -9));
    claimAndLose(OTHER, 30);
    ledger.readsDue(40);
    assertThat(ledger.readBack(OTHER, read(sameHolderOtherTimestamp), 45))
        .contains(new ClaimResolution.MayHaveRun(OTHER));
  }

  @Test
  void pausedHolderDoesNotRunAnExpiredClaim() {
    begin(KEY, 0);
    ClaimBatch batch = ledger.poll(5).orElseThrow();
    assertThat(ledger.settled(batch.number(), APPLIED, 2_001))
        .containsExactly(new ClaimResolution.NotRun(KEY, ClaimRefusal.CLAIM_TOO_OLD));
    begin(OTHER, 3_000);
    ClaimBatch unanswered = ledger.poll(3_005).orElseThrow();
    assertThat(ledger.expire(5_001))
        .containsExactly(new ClaimResolution.NotRun(OTHER, ClaimRefusal.CLAIM_TOO_OLD));
    assertThat(ledger.settled(unanswered.number(), APPLIED, 5_002)).isEmpty();
  }

  @Test
  void claimsAreRefusedAtOnceAndProbedWhileThePlatformIsUnreachable() {
    for (int i = 0; i < 3; i++) {
      IdempotencyKey key = new IdempotencyKey("away" + i);
      begin(key, i * 10);
      ClaimBatch batch = ledger.poll(i * 10 + 5).orElseThrow();
      assertThat(ledger.settled(batch.number(), new BatchOutcome.NotApplied(), i * 10 + 6))
          .containsExactly(new ClaimResolution.NotRun(key, ClaimRefusal.PLATFORM_AWAY));
    }
    assertThat(ledger.begin(KEY, BODY, 100))
        .isEqualTo(new ClaimDecision.Unavailable(ClaimRefusal.PLATFORM_AWAY));
    begin(KEY, 1_026);
    assertThat(ledger.begin(OTHER, BODY, 1_027))
        .isEqualTo(new ClaimDecision.Unavailable(ClaimRefusal.PLATFORM_AWAY));
    ledger.settled(ledger.poll(1_031).orElseThrow().number(), APPLIED, 1_040);
    begin(OTHER, 1_050);
  }

  @Test
  void releasedKeyIsNeverReleasedAgainEvenAfterEviction() {
    begin(KEY, 0);
    ClaimBatch batch = ledger.poll(5).orElseThrow();
    ledger.settled(batch.number(), APPLIED, 10);
    ledger.finished(KEY, 20);
    assertThat(ledger.begin(KEY, BODY, 30)).isEqualTo(new ClaimDecision.HasRun());
    ledger.expire(700_000);
    begin(KEY, 700_000);
    ClaimBatch again = ledger.poll(700_005).orElseThrow();
    ledger.settled(again.number(), LOST, 700_010);
    ledger.readsDue(700_010);
    assertThat(ledger.readBack(KEY, read(row(batch, KEY)), 700_020))
        .contains(new ClaimResolution.MayHaveRun(KEY));
  }

  private Row claimAndLose(IdempotencyKey key, long nowMillis) {
    begin(key, nowMillis);
    ClaimBatch batch = ledger.poll(nowMillis + 5).orElseThrow();
    ledger.settled(batch.number(), LOST, nowMillis + 10);
    return row(batch, key);
  }

  private void begin(IdempotencyKey key, long nowMillis) {
    assertThat(ledger.begin(key, BODY, nowMillis)).isEqualTo(new ClaimDecision.RunAfterClaim(key));
  }

  private static Row row(ClaimBatch batch, IdempotencyKey key) {
    for (RowWrite write : batch.transaction().writes()) {
      if (write instanceof RowWrite.Put(RowKey at, RowValue value)
          && at.equals(RowKey.claim(key))) {
        return new Row(at, 1, value);
      }
    }
    throw new AssertionError("the batch contains no claim of " + key);
  }

  private static ReadOutcome read(Row row) {
    return new ReadOutcome.Read(Optional.of(row));
  }
}
