package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;

/** The next step of a commit; its result is passed back as a {@link CommitEvent}. */
public sealed interface CommitStep {

  /**
   * Read a row.
   *
   * @param key the row's key
   */
  record ReadRow(RowKey key) implements CommitStep {}

  /**
   * Read the history rows of a range of versions.
   *
   * @param after the version before the first one to read
   * @param last the last version to read
   */
  record ReadHistory(ConfigurationVersion after, ConfigurationVersion last) implements CommitStep {}

  /**
   * Fetch a configuration, from memory or the object store.
   *
   * @param digest its digest
   */
  record FetchBody(Digest digest) implements CommitStep {}

  /**
   * Store a configuration.
   *
   * @param digest its digest
   * @param configuration the configuration
   */
  record PutBody(Digest digest, Configuration configuration) implements CommitStep {}

  /**
   * Send a transaction.
   *
   * @param transaction the transaction
   */
  record Transact(Transaction transaction) implements CommitStep {}

  /**
   * Wait before the next retry.
   *
   * @param delayMillis the delay
   */
  record Wait(long delayMillis) implements CommitStep {}

  /**
   * Report the outcome; the last step.
   *
   * @param outcome the outcome of the commit
   */
  record Done(CommitOutcome outcome) implements CommitStep {}
}
