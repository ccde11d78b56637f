package io.hemlockbend.node.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;

/** Passes an answer's content through and reports once whether it ended complete. */
final class WatchedSource implements Content.Source {
  private final Content.Source source;
  private final Consumer<Boolean> onEnd;
  private final AtomicBoolean reported = new AtomicBoolean();

  WatchedSource(Content.Source source, Consumer<Boolean> onEnd) {
    this.source = source;
    this.onEnd = onEnd;
  }

  @Override
  public Content.Chunk read() {
    Content.Chunk chunk = source.read();
    if (chunk == null) {
      return null;
    }
    if (Content.Chunk.isFailure(chunk)) {
      report(false);
    } else if (chunk.isLast()) {
      report(true);
    }
    return chunk;
  }

  @Override
  public void demand(Runnable demandCallback) {
    source.demand(demandCallback);
  }

  @Override
  public void fail(Throwable failure) {
    report(false);
    source.fail(failure);
  }

  private void report(boolean complete) {
    if (reported.compareAndSet(false, true)) {
      onEnd.accept(complete);
    }
  }
}
