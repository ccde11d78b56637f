package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.traffic.UpstreamRecord;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Saves the records of the upstream one after another, so that the latest one is what remains. */
final class RecordSaver {
  private final Function<UpstreamRecord, CompletableFuture<Void>> store;
  private CompletableFuture<Void> saved = CompletableFuture.completedFuture(null);

  RecordSaver(Function<UpstreamRecord, CompletableFuture<Void>> store) {
    this.store = store;
  }

  void save(UpstreamRecord record) {
    saved = saved.handle((done, failure) -> null).thenCompose(done -> store.apply(record));
  }

  /** Returns a future that completes when the attempt to save the latest record has ended. */
  CompletableFuture<Void> saved() {
    return saved;
  }
}
