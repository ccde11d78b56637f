package io.hemlockbend.node.log;

import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.RequestId;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.stream.IntStream;

/** Keeps the latest decisions, so that operators can ask why a request went where it went. */
public final class RecentDecisions implements DecisionListener {
  private static final int KEPT = 8_192;

  private final AtomicReferenceArray<DecisionRecord> ring = new AtomicReferenceArray<>(KEPT);
  private final AtomicLong next = new AtomicLong();

  @Override
  public void decided(DecisionRecord decision) {
    ring.set((int) (next.getAndIncrement() % KEPT), decision);
  }

  /**
   * Returns the decisions on a request that are still kept, oldest first.
   *
   * @param request the request's id
   */
  public List<DecisionRecord> of(RequestId request) {
    long end = next.get();
    return IntStream.range(0, KEPT)
        .mapToObj(i -> ring.get((int) ((end + i) % KEPT)))
        .filter(decision -> decision != null)
        .filter(decision -> decision.request().filter(request::equals).isPresent())
        .toList();
  }
}
