package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory table and object store without faults; a deleted row's revision restarts at 1. */
final class FakeTable {
  final TreeMap<RowKey, Row> rows = new TreeMap<>();
  final Map<Digest, Configuration> bodies = new HashMap<>();

  static Digest digest(Configuration configuration) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256")
              .digest(configuration.toString().getBytes(StandardCharsets.UTF_8));
      return new Digest(String.format("%064x", new BigInteger(1, hash)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  Optional<Row> read(RowKey key) {
    return Optional.ofNullable(rows.get(key));
  }

  TransactionOutcome transact(Transaction transaction) {
    List<RowKey> failed =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (!failed.isEmpty()) {
      return new TransactionOutcome.Conflicted(failed);
    }
    transaction.writes().forEach(this::write);
    return new TransactionOutcome.Applied();
  }

  private boolean holds(Condition condition) {
    return switch (condition) {
      case Condition.Absent absent -> !rows.containsKey(absent.key());
      case Condition.AtRevision at ->
          rows.containsKey(at.key()) && rows.get(at.key()).revision() == at.revision();
    };
  }

  void write(RowWrite write) {
    switch (write) {
      case RowWrite.Put(RowKey key, RowValue value) ->
          rows.merge(
              key, new Row(key, 1, value), (old, one) -> new Row(key, old.revision() + 1, value));
      case RowWrite.Delete(RowKey key) -> rows.remove(key);
    }
  }

  RowValue.Current current() {
    return (RowValue.Current) rows.get(RowKey.CURRENT).value();
  }

  List<RowValue.History> history() {
    return rows.values().stream()
        .map(Row::value)
        .filter(RowValue.History.class::isInstance)
        .map(RowValue.History.class::cast)
        .toList();
  }
}
