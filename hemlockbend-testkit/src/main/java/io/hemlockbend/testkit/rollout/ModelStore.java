package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Commits configurations to the modelled table and notifies a listener of accepted ones. */
final class ModelStore {
  private static final Digest ANY_DIGEST = new Digest("0".repeat(64));

  private final ModelTable table;
  private final Map<CommitId, Configuration> bodies = new HashMap<>();
  private final Consumer<Configuration> accepted;
  private ConfigurationVersion lastAccepted = ConfigurationVersion.NONE;
  private long commits;

  ModelStore(ModelTable table, Consumer<Configuration> accepted) {
    this.table = table;
    this.accepted = accepted;
  }

  /** Returns the transaction of a change; empty if the base is not the current configuration. */
  Optional<Transaction> prepare(
      Configuration base, Change change, Optional<Condition> lease, Optional<Row> current) {
    if (!current.map(row -> version(row).equals(base.version())).orElse(true)) {
      return Optional.empty();
    }
    Configuration next = ChangeApplier.apply(base, List.of(change));
    CommitId commit = new CommitId("commit-" + commits++);
    bodies.put(commit, next);
    List<Condition> conditions = new ArrayList<>();
    conditions.add(
        current
            .<Condition>map(row -> new Condition.AtRevision(RowKey.CURRENT, row.revision()))
            .orElse(new Condition.Absent(RowKey.CURRENT)));
    lease.ifPresent(conditions::add);
    RowValue value = new RowValue.Current(next.version(), ANY_DIGEST, commit);
    return Optional.of(
        new Transaction(conditions, List.of(new RowWrite.Put(RowKey.CURRENT, value))));
  }

  /** Notifies the listener if a newer configuration was accepted since the last poll. */
  void poll() {
    table
        .row(RowKey.CURRENT)
        .filter(row -> version(row).newerThan(lastAccepted))
        .ifPresent(
            row -> {
              lastAccepted = version(row);
              accepted.accept(bodies.get(((RowValue.Current) row.value()).commit()));
            });
  }

  private static ConfigurationVersion version(Row row) {
    return ((RowValue.Current) row.value()).version();
  }
}
