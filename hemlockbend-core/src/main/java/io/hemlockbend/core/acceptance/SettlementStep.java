package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;

/** What a settlement wants done next; its result comes back as a {@link SettlementEvent}. */
public sealed interface SettlementStep {

  /**
   * Read a row.
   *
   * @param key the row's key
   */
  record ReadRow(RowKey key) implements SettlementStep {}

  /**
   * Read the history rows of a range of versions.
   *
   * @param after the version before the first
   * @param last the last version
   */
  record ReadHistory(ConfigurationVersion after, ConfigurationVersion last)
      implements SettlementStep {}

  /**
   * Fetch a configuration, from memory or the object store.
   *
   * @param digest its digest
   */
  record FetchBody(Digest digest) implements SettlementStep {}

  /**
   * Store a configuration.
   *
   * @param digest its digest
   * @param configuration the configuration
   */
  record PutBody(Digest digest, Configuration configuration) implements SettlementStep {}

  /**
   * Send a transaction.
   *
   * @param transaction the transaction
   */
  record Transact(Transaction transaction) implements SettlementStep {}

  /**
   * Wait before the next try.
   *
   * @param delayMillis how long
   */
  record Wait(long delayMillis) implements SettlementStep {}

  /**
   * Tell the outcome; nothing follows.
   *
   * @param outcome the outcome
   */
  record Done(CommitOutcome outcome) implements SettlementStep {}
}
