package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.retry.OutcomeWord;
import java.util.HashMap;
import java.util.Map;

/**
 * What the core is compared with: plain round robin over all upstreams, no admission, and one blind
 * retry on the next upstream after any failure. A 503 counts as the word "not run", as callers of
 * such proxies take it.
 */
final class BlindEntry implements Entry, UpstreamModel.Listener {
  private static final long TRY_MILLIS = 500;
  private static final int MAX_TRIES = 2;

  private final Mesh mesh;
  private final Map<Send, UpstreamModel> open = new HashMap<>();
  private int next;

  BlindEntry(Mesh mesh) {
    this.mesh = mesh;
  }

  @Override
  public boolean alive() {
    return true;
  }

  @Override
  public void receive(Send send) {
    UpstreamModel upstream = mesh.nodes().get(next++ % mesh.nodes().size()).upstream;
    int number = ++send.tries;
    open.put(send, upstream);
    mesh.queue().in(1, () -> upstream.run(send, mesh.queue().now(), this));
    mesh.queue().in(TRY_MILLIS, () -> timedOut(send, number));
  }

  @Override
  public void began(UpstreamModel.Run run) {
    // answers are passed on whole
  }

  @Override
  public void ended(UpstreamModel.Run run, UpstreamModel.End end) {
    if (run.send.told()) {
      return;
    }
    switch (end) {
      case ANSWERED -> {
        open.remove(run.send);
        run.send.tell(new Tell.Answered(run.send.request.number(), true));
      }
      case BROKEN -> failed(run.send, OutcomeWord.MAY_HAVE_RUN);
      case OVERLOADED, REFUSED -> failed(run.send, OutcomeWord.NOT_RUN);
      default -> throw new IllegalStateException("unknown end " + end);
    }
  }

  private void timedOut(Send send, int number) {
    if (!send.told() && send.tries == number && open.containsKey(send)) {
      open.get(send).cancel(send);
      failed(send, OutcomeWord.MAY_HAVE_RUN);
    }
  }

  private void failed(Send send, OutcomeWord word) {
    open.remove(send);
    if (send.tries < MAX_TRIES) {
      receive(send);
    } else {
      send.tell(new Tell.Refused(word, "failed"));
    }
  }
}
