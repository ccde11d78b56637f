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
 * Plans the acceptance of a change set: the next configuration, validated whole, and the one
 * transaction that accepts it. The transaction applies only while the row {@code current} is the
 * one that the plan was made against, and at most once for a commit id, however often and late it
 * is sent.
 */
public final class CommitPlanner {
  private final ConfigurationChecker checker;
  private final ConfigurationDigester digester;

  /**
   * Makes a planner.
   *
   * @param checker the rules of acceptance
   * @param digester computes digests
   */
  public CommitPlanner(ConfigurationChecker checker, ConfigurationDigester digester) {
    this.checker = checker;
    this.digester = digester;
  }

  /**
   * Plans an acceptance.
   *
   * @param current the row {@code current} as read; empty before the first acceptance
   * @param base the configuration that the row names
   * @param changeSet the changes; whether they may go on this base is decided before
   * @param order who commits what and when
   * @return the plan, or every fault
   */
  public CommitPlan plan(
      Optional<Row> current, Configuration base, ChangeSet changeSet, CommitOrder order) {
    List<Violation> bounds = bounds(changeSet, order);
    if (!bounds.isEmpty()) {
      return new CommitPlan.Refused(bounds);
    }
    ChangeDraft draft =
        ChangeDraft.of(base, changeSet.changes(), order.author(), order.nowMillis());
    Configuration next = ChangeApplier.apply(base, draft.accepted());
    List<Violation> violations = new ArrayList<>(draft.violations());
    violations.addAll(checker.check(next, order.knownDomains()));
    if (!violations.isEmpty()) {
      return new CommitPlan.Refused(violations);
    }
    Digest digest = digester.digest(next);
    RowValue.History history =
        new RowValue.History(
            next.version(),
            digest,
            order.commit(),
            order.author().name(),
            order.nowMillis(),
            draft.accepted());
    Transaction transaction =
        new Transaction(
            conditions(current, changeSet, order, history), writes(changeSet, order, history));
    return new CommitPlan.Planned(next, digest, draft.accepted(), transaction);
  }

  private static List<Violation> bounds(ChangeSet changeSet, CommitOrder order) {
    String subject = "change set of " + order.author().name();
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
      Optional<Row> current, ChangeSet changeSet, CommitOrder order, RowValue.History history) {
    List<Condition> conditions = new ArrayList<>();
    conditions.add(unchanged(RowKey.CURRENT, current));
    conditions.add(new Condition.Absent(RowKey.history(history.version())));
    conditions.add(new Condition.Absent(RowKey.commit(order.commit())));
    changeSet
        .stagedRow()
        .ifPresent(row -> conditions.add(new Condition.AtRevision(row.key(), row.revision())));
    conditions.addAll(order.extra());
    return conditions;
  }

  /** Returns the condition that a row is still as it was read. */
  static Condition unchanged(RowKey key, Optional<Row> read) {
    return read.<Condition>map(row -> new Condition.AtRevision(key, row.revision()))
        .orElseGet(() -> new Condition.Absent(key));
  }

  private static List<RowWrite> writes(
      ChangeSet changeSet, CommitOrder order, RowValue.History history) {
    List<RowWrite> writes = new ArrayList<>();
    writes.add(
        new RowWrite.Put(
            RowKey.CURRENT,
            new RowValue.Current(history.version(), history.digest(), order.commit())));
    writes.add(new RowWrite.Put(RowKey.history(history.version()), history));
    writes.add(
        new RowWrite.Put(
            RowKey.commit(order.commit()),
            new RowValue.Committed(order.commit(), history.version())));
    changeSet
        .stagedRow()
        .ifPresent(row -> writes.add(new RowWrite.Put(row.key(), emptied(history))));
    writes.add(auditOf(order, history));
    return writes;
  }

  /**
   * The staged row is emptied and not deleted: its revision then never starts again, so that a late
   * transaction cannot take a row of later changes for the one that it was planned with.
   */
  private static RowValue.Staged emptied(RowValue.History history) {
    return new RowValue.Staged(history.author(), history.version(), List.of());
  }

  private static RowWrite auditOf(CommitOrder order, RowValue.History history) {
    return new RowWrite.Put(
        AuditKeys.key(order.nowMillis(), order.commit().value()),
        new RowValue.Audit(
            order.author().name(),
            order.author().team(),
            "commit",
            "accepted as version " + history.version(),
            order.nowMillis()));
  }
}
