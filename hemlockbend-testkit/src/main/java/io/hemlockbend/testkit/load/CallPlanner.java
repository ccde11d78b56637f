package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.net.URI;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.SplittableRandom;

/** Draws the calls of a plan: a Poisson process of arrivals, the same for the same seed. */
final class CallPlanner implements Iterator<PlannedCall> {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LoadPlan plan;
  private final SplittableRandom random;
  private final String prefix;
  private final int totalWeight;
  private double nextDueNanos;
  private long number;

  CallPlanner(LoadPlan plan) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    prefix = Long.toHexString(plan.seed()) + "-";
    totalWeight = plan.mix().stream().mapToInt(CallTemplate::weight).sum();
    advance();
  }

  @Override
  public boolean hasNext() {
    return nextDueNanos < (double) plan.durationMillis() * NANOS_PER_MILLI;
  }

  @Override
  public PlannedCall next() {
    if (!hasNext()) {
      throw new NoSuchElementException("the plan has ended");
    }
    CallTemplate template = drawTemplate();
    URI entry = plan.entries().get(random.nextInt(plan.entries().size()));
    String id = prefix + number++;
    Optional<IdempotencyKey> key =
        template.kind() == CallKind.POST
            ? Optional.of(new IdempotencyKey("key-" + id))
            : Optional.empty();
    PlannedCall call =
        new PlannedCall(
            (long) nextDueNanos,
            new RequestId(id),
            template.kind(),
            entry,
            template.path(),
            key,
            random.nextLong(Integer.MAX_VALUE));
    advance();
    return call;
  }

  private void advance() {
    double seconds = -Math.log(1 - random.nextDouble()) / plan.ratePerSecond();
    nextDueNanos += seconds * NANOS_PER_SECOND;
  }

  private CallTemplate drawTemplate() {
    int drawn = random.nextInt(totalWeight);
    for (CallTemplate template : plan.mix()) {
      drawn -= template.weight();
      if (drawn < 0) {
        return template;
      }
    }
    throw new IllegalStateException("weights don't add up");
  }
}
