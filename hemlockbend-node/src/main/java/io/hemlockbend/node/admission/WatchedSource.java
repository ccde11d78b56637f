package io.hemlockbend.node.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;

/** Passes an answer's content through and tells once whether it ended whole. */
final class WatchedSource implements Content.Source {
  private final Content.Source source;
  private final Consumer<Boolean> ended;
  private final AtomicBoolean told = new AtomicBoolean();

  WatchedSource(Content.Source source, Consumer<Boolean> ended) {
    this.source = source;
    this.ended = ended;
  }

  @Override
  public Content.Chunk read() {
    Content.Chunk chunk = source.read();
    if (chunk == null) {
      return null;
    }
    if (Content.Chunk.isFailure(chunk)) {
      tell(false);
    } else if (chunk.isLast()) {
      tell(true);
    }
    return chunk;
  }

  @Override
  public void demand(Runnable demandCallback) {
    source.demand(demandCallback);
  }

  @Override
  public void fail(Throwable failure) {
    tell(false);
    source.fail(failure);
  }

  private void tell(boolean whole) {
    if (told.compareAndSet(false, true)) {
      ended.accept(whole);
    }
  }
}
