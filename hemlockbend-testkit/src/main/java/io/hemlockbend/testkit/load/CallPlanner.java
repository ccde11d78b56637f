package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import java.net.URI;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.SplittableRandom;

/** Generates the calls of a plan as a Poisson process; the same seed gives the same calls. */
final class CallPlanner implements Iterator<PlannedCall> {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LoadPlan plan;
  private final SplittableRandom random;
  private final String idPrefix;
  private final int totalWeight;
  private double nextDueNanos;
  private long number;

  CallPlanner(LoadPlan plan) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    idPrefix = Long.toHexString(plan.seed()) + "-";
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
      throw new NoSuchElementException("no calls left in the plan");
    }
    CallTemplate template = randomTemplate();
    URI entry = plan.entries().get(random.nextInt(plan.entries().size()));
    String id = idPrefix + number++;
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

  private CallTemplate randomTemplate() {
    int remainingWeight = random.nextInt(totalWeight);
    for (CallTemplate template : plan.mix()) {
      remainingWeight -= template.weight();
      if (remainingWeight < 0) {
        return template;
      }
    }
    throw new IllegalStateException("template weights sum to less than " + totalWeight);
  }
}
