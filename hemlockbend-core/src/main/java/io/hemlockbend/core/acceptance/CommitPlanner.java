package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Plans the acceptance of a change set: the next configuration, fully validated, and the single
 * transaction that accepts it. The transaction applies only while the row {@code current} is
 * unchanged since the plan was made, and at most once per commit id, no matter how often or how
 * late it is sent.
 */
public final class CommitPlanner {
  private final ConfigurationChecker checker;
  private final ConfigurationDigester digester;

  /**
   * Creates a planner.
   *
   * @param checker the validation rules for acceptance
   * @param digester computes configuration digests
   */
  public CommitPlanner(ConfigurationChecker checker, ConfigurationDigester digester) {
    this.checker = checker;
    this.digester = digester;
  }

  /**
   * Plans the acceptance of a change set.
   *
   * @param current the row {@code current} as read; empty before the first acceptance
   * @param base the configuration that the row refers to
   * @param changeSet the changes; the caller has checked that they may be applied to this base
   * @param request the parameters of the commit
   * @return the plan, or a refusal with all violations
   */
  public CommitPlan plan(
      Optional<Row> current, Configuration base, ChangeSet changeSet, CommitRequest request) {
    List<Violation> sizeViolations = checkSize(changeSet, request);
    if (!sizeViolations.isEmpty()) {
      return new CommitPlan.Refused(sizeViolations);
    }
    ChangeDraft draft =
        ChangeDraft.of(base, changeSet.changes(), request.author(), request.nowMillis());
    Configuration next = ChangeApplier.apply(base, draft.accepted());
    List<Violation> violations = new ArrayList<>(draft.violations());
    violations.addAll(checker.check(next, request.knownDomains()));
    if (!violations.isEmpty()) {
      return new CommitPlan.Refused(violations);
    }
    Digest digest = digester.digest(next);
    RowValue.History history =
        new RowValue.History(
            next.version(),
            digest,
            request.commit(),
            request.author().name(),
            request.nowMillis(),
            draft.accepted());
    Transaction transaction =
        new Transaction(
            conditions(current, changeSet, request, history), writes(changeSet, request, history));
    return new CommitPlan.Planned(next, digest, draft.accepted(), transaction);
  }

  private static List<Violation> checkSize(ChangeSet changeSet, CommitRequest request) {
    String subject = "change set of " + request.author().name();
    int count = changeSet.changes().size();
    if (count == 0) {
      return List.of(Violation.of(ViolationKey.NOTHING_STAGED, subject));
    }
    if (count > ChangeSet.MAX_CHANGES) {
      return List.of(
          Violation.of(ViolationKey.TOO_MANY_CHANGES, subject, count, ChangeSet.MAX_CHANGES));
    }
    return List.of();
  }

  private static List<Condition> conditions(
      Optional<Row> current, ChangeSet changeSet, CommitRequest request, RowValue.History history) {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(unchanged(RowKey.CURRENT, current));
    conditions.add(new Condition.Absent(RowKey.history(history.version())));
    conditions.add(new Condition.Absent(RowKey.commit(request.commit())));
    changeSet
        .stagedRow()
        .ifPresent(row -> conditions.add(new Condition.AtRevision(row.key(), row.revision())));
    conditions.addAll(request.extraConditions());
    return conditions;
  }

  /** Returns the condition that a row is unchanged since it was read. */
  static Condition unchanged(RowKey key, Optional<Row> read) {
    return read.<Condition>map(row -> new Condition.AtRevision(key, row.revision()))
        .orElseGet(() -> new Condition.Absent(key));
  }

  private static List<RowWrite> writes(
      ChangeSet changeSet, CommitRequest request, RowValue.History history) {
    List<RowWrite> writes = new ArrayList<>();
    writes.add(
        new RowWrite.Put(
            RowKey.CURRENT,
            new RowValue.Current(history.version(), history.digest(), request.commit())));
    writes.add(new RowWrite.Put(RowKey.history(history.version()), history));
    writes.add(
        new RowWrite.Put(
            RowKey.commit(request.commit()),
            new RowValue.Committed(request.commit(), history.version())));
    changeSet
        .stagedRow()
        .ifPresent(row -> writes.add(new RowWrite.Put(row.key(), emptyStagedRow(history))));
    writes.add(auditRow(request, history));
    return writes;
  }

  /**
   * Returns an empty staged row. The row is overwritten and not deleted, so that its revision never
   * restarts and a delayed transaction cannot mistake a row with later changes for the one that it
   * was planned with.
   */
  private static RowValue.Staged emptyStagedRow(RowValue.History history) {
    return new RowValue.Staged(history.author(), history.version(), List.of());
  }

  private static RowWrite auditRow(CommitRequest request, RowValue.History history) {
    return new RowWrite.Put(
        AuditKeys.key(request.nowMillis(), request.commit().value()),
        new RowValue.Audit(
            request.author().name(),
            request.author().team(),
            "commit",
            "accepted as version " + history.version(),
            request.nowMillis()));
  }
}
