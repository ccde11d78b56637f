package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.routing.PassiveHealth;
import io.hemlockbend.core.routing.UpstreamView;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks this entry's requests in flight to each upstream and the upstream's passive health. */
final class UpstreamStats implements UpstreamView {

  private record Stats(AtomicInteger outstanding, PassiveHealth health) {
    Stats() {
      this(new AtomicInteger(), new PassiveHealth());
    }
  }

  private final ConcurrentMap<UpstreamId, Stats> stats = new ConcurrentHashMap<>();
  private final Clock clock;

  UpstreamStats(Clock clock) {
    this.clock = clock;
  }

  void started(UpstreamId upstream) {
    statsOf(upstream).outstanding().incrementAndGet();
  }

  void answered(UpstreamId upstream) {
    statsOf(upstream).outstanding().decrementAndGet();
    statsOf(upstream).health().succeeded();
  }

  void refused(UpstreamId upstream) {
    statsOf(upstream).outstanding().decrementAndGet();
  }

  void failed(UpstreamId upstream) {
    statsOf(upstream).outstanding().decrementAndGet();
    statsOf(upstream).health().failed(clock.millis());
  }

  /** Removes all upstreams but the known ones; keeps any that has requests in flight. */
  void retainAll(Set<UpstreamId> known) {
    stats.entrySet().removeIf(e -> !known.contains(e.getKey()) && idle(e.getValue()));
  }

  private static boolean idle(Stats upstreamStats) {
    return upstreamStats.outstanding().get() == 0;
  }

  @Override
  public int outstanding(UpstreamId upstream) {
    Stats upstreamStats = stats.get(upstream);
    return upstreamStats == null ? 0 : upstreamStats.outstanding().get();
  }

  @Override
  public boolean ejected(UpstreamId upstream) {
    Stats upstreamStats = stats.get(upstream);
    return upstreamStats != null && upstreamStats.health().ejected(clock.millis());
  }

  private Stats statsOf(UpstreamId upstream) {
    return stats.computeIfAbsent(upstream, id -> new Stats());
  }
}
