package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the seeds to send a join to, with exponential back-off and jitter until one answers. */
final class Joiner {
  private static final int SEEDS_PER_ATTEMPT = 2;

  private final RandomGenerator random;
  private List<NodeAddress> seeds = List.of();
  private long backoffMillis = MembershipSettings.JOIN_BACKOFF_MILLIS;
  private long nextMillis = Long.MAX_VALUE;

  Joiner(RandomGenerator random) {
    this.random = random;
  }

  void start(List<NodeAddress> candidates, NodeAddress own, long nowMillis) {
    seeds = candidates.stream().filter(seed -> !seed.equals(own)).toList();
    backoffMillis = MembershipSettings.JOIN_BACKOFF_MILLIS;
    nextMillis = seeds.isEmpty() ? Long.MAX_VALUE : nowMillis;
  }

  /** Returns the seeds to ask now; empty when no attempt is due. */
  List<NodeAddress> seedsDue(long nowMillis) {
    if (nowMillis < nextMillis) {
      return List.of();
    }
    nextMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis);
    backoffMillis = Math.min(2 * backoffMillis, MembershipSettings.JOIN_BACKOFF_MAX_MILLIS);
    List<NodeAddress> shuffled = new ArrayList<>(seeds);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, Math.min(SEEDS_PER_ATTEMPT, shuffled.size()));
  }

  void answered() {
    nextMillis = Long.MAX_VALUE;
  }

  /** Returns one seed at random; empty when there is none. */
  List<NodeAddress> randomSeed() {
    return seeds.isEmpty() ? List.of() : List.of(seeds.get(random.nextInt(seeds.size())));
  }
}
