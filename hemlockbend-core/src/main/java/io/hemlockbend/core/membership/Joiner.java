package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Decides when and whom a new node asks for the members: backoff doubles and is jittered. */
final class Joiner {
  private static final int SEEDS_AT_ONCE = 2;

  private final RandomGenerator random;
  private List<NodeAddress> seeds = List.of();
  private long backoffMillis = MembershipSettings.JOIN_BACKOFF_MILLIS;
  private long nextMillis = Long.MAX_VALUE;

  Joiner(RandomGenerator random) {
    this.random = random;
  }

  void start(List<NodeAddress> known, NodeAddress own, long nowMillis) {
    seeds = known.stream().filter(seed -> !seed.equals(own)).toList();
    backoffMillis = MembershipSettings.JOIN_BACKOFF_MILLIS;
    nextMillis = seeds.isEmpty() ? Long.MAX_VALUE : nowMillis;
  }

  /** Returns the seeds to ask now, when it is time. */
  List<NodeAddress> due(long nowMillis) {
    if (nowMillis < nextMillis) {
      return List.of();
    }
    nextMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis);
    backoffMillis = Math.min(2 * backoffMillis, MembershipSettings.JOIN_BACKOFF_MAX_MILLIS);
    List<NodeAddress> shuffled = new ArrayList<>(seeds);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, Math.min(SEEDS_AT_ONCE, shuffled.size()));
  }

  void answered() {
    nextMillis = Long.MAX_VALUE;
  }

  /** Returns one seed at random, or nothing when there is none. */
  List<NodeAddress> anySeed() {
    return seeds.isEmpty() ? List.of() : List.of(seeds.get(random.nextInt(seeds.size())));
  }
}
