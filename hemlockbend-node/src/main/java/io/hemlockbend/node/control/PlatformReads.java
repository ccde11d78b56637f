package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.node.commit.CurrentRowReader;
import io.hemlockbend.platform.ObjectStore;
import io.hemlockbend.platform.TableService;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Executes the distributor's reads of the platform and passes the results back to it. */
final class PlatformReads {
  private final TableService table;
  private final ObjectStore store;
  private final CurrentRowReader current;
  private final ControlState state;
  private final Executor control;
  private final Clock clock;
  private final Consumer<List<DistributionEffect>> effects;

  /**
   * Creates the reads.
   *
   * @param components the platform, and the state that receives the results
   * @param inForce returns the configuration in force; called on any thread
   * @param control executes tasks on the control thread
   * @param clock the time source
   * @param effects carries out the effects that the distributor returns
   */
  PlatformReads(
      ControlComponents components,
      Supplier<CurrentRowReader.InForce> inForce,
      Executor control,
      Clock clock,
      Consumer<List<DistributionEffect>> effects) {
    this.table = components.table();
    this.store = components.store();
    this.current = new CurrentRowReader(table, store, inForce);
    this.state = components.state();
    this.control = control;
    this.clock = clock;
    this.effects = effects;
  }

  void readCurrent() {
    current
        .read()
        .whenCompleteAsync(
            (row, failure) ->
                effects.accept(
                    failure == null
                        ? currentRead(row.map(PlatformReads::current))
                        : state.distributor.currentUnavailable(clock.millis())),
            control);
  }

  private List<DistributionEffect> currentRead(Optional<RowValue.Current> row) {
    VersionMark mark =
        row.map(current -> new VersionMark(current.version(), current.digest()))
            .orElse(VersionMark.NONE);
    state.membership.tableRead(mark);
    return state.distributor.currentRead(row, clock.millis());
  }

  private static RowValue.Current current(Row row) {
    return (RowValue.Current) row.value();
  }

  void readHistory(DistributionEffect.ReadHistory range) {
    List<CompletableFuture<Optional<Row>>> reads = new ArrayList<>();
    for (long v = range.after().value() + 1; v <= range.last().value(); v++) {
      reads.add(table.read(RowKey.history(new ConfigurationVersion(v))));
    }
    CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .whenCompleteAsync(
            (done, failure) ->
                effects.accept(
                    failure == null
                        ? state.distributor.historyRead(rows(reads), clock.millis())
                        : state.distributor.historyUnavailable(clock.millis())),
            control);
  }

  /** Returns the rows, or an empty list when any of them is missing. */
  private static List<RowValue.History> rows(List<CompletableFuture<Optional<Row>>> reads) {
    List<RowValue.History> rows = new ArrayList<>();
    for (CompletableFuture<Optional<Row>> read : reads) {
      Optional<Row> row = read.join();
      if (row.isEmpty()) {
        return List.of();
      }
      rows.add((RowValue.History) row.get().value());
    }
    return rows;
  }

  void fetchBody(DistributionEffect.FetchBody fetch) {
    store
        .fetch(fetch.digest())
        .whenCompleteAsync(
            (body, failure) ->
                effects.accept(
                    failure == null && body.isPresent()
                        ? state.distributor.bodyFetched(fetch.digest(), body.get(), clock.millis())
                        : state.distributor.bodyUnavailable(fetch.digest(), clock.millis())),
            control);
  }
}
