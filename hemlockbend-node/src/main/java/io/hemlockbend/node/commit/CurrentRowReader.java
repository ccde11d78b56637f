package io.hemlockbend.node.commit;

import io.hemlockbend.core.acceptance.LostAcceptance;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.TableService;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Reads the table's row of the configuration in force. If the table was restored from an older copy
 * and has lost the version that this node has in force, that is accepted again first.
 */
public final class CurrentRowReader {
  private static final Logger LOGGER = LogManager.getLogger(CurrentRowReader.class);

  /**
   * The configuration that a node has in force.
   *
   * @param mark its version and digest
   * @param configuration its content
   */
  public record InForce(VersionMark mark, Configuration configuration) {
    /** No configuration is in force. */
    public static final InForce NONE = new InForce(VersionMark.NONE, Configuration.EMPTY);
  }

  private final TableService table;
  private final ObjectStore store;
  private final Supplier<InForce> inForce;

  /**
   * Creates a reader.
   *
   * @param table the platform's table
   * @param store the platform's object store
   * @param inForce returns the configuration in force; called on any thread
   */
  public CurrentRowReader(TableService table, ObjectStore store, Supplier<InForce> inForce) {
    this.table = table;
    this.store = store;
    this.inForce = inForce;
  }

  /** Reads the row; empty before the first acceptance. Fails like {@link TableService#read}. */
  public CompletableFuture<Optional<Row>> read() {
    // Taken before the read: what is accepted meanwhile is not lost.
    InForce known = inForce.get();
    return table
        .read(RowKey.CURRENT)
        .thenCompose(
            row ->
                LostAcceptance.rewrite(row, known.mark())
                    .map(transaction -> rewrite(row, known, transaction))
                    .orElseGet(() -> CompletableFuture.completedFuture(row)));
  }

  private CompletableFuture<Optional<Row>> rewrite(
      Optional<Row> row, InForce known, Transaction transaction) {
    LOGGER.warn("the table shows {} though {} was accepted; accepting it again", row, known.mark());
    return store
        .put(known.mark().digest(), known.configuration())
        .thenCompose(put -> table.transact(transaction))
        .thenCompose(outcome -> table.read(RowKey.CURRENT));
  }
}
