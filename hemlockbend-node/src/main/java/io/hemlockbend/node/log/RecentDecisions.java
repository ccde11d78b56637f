package io.hemlockbend.node.log;

import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.RequestId;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.stream.IntStream;

/** A ring buffer of the latest decisions, from which operators can explain a request's route. */
public final class RecentDecisions implements DecisionListener {
  private static final int CAPACITY = 8_192;

  private final AtomicReferenceArray<DecisionRecord> ring = new AtomicReferenceArray<>(CAPACITY);
  private final AtomicLong next = new AtomicLong();

  @Override
  public void decided(DecisionRecord decision) {
    ring.set((int) (next.getAndIncrement() % CAPACITY), decision);
  }

  /**
   * Returns the decisions on a request that are still in the buffer, oldest first.
   *
   * @param request the request's id
   */
  public List<DecisionRecord> of(RequestId request) {
    long end = next.get();
    return IntStream.range(0, CAPACITY)
        .mapToObj(i -> ring.get((int) ((end + i) % CAPACITY)))
        .filter(decision -> decision != null)
        .filter(decision -> decision.request().filter(request::equals).isPresent())
        .toList();
  }
}
