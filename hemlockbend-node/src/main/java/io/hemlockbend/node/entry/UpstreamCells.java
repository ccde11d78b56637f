package io.hemlockbend.node.entry;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.routing.PassiveHealth;
import io.hemlockbend.core.routing.UpstreamView;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts this entry's requests in flight to each upstream and judges it by their outcomes. */
final class UpstreamCells implements UpstreamView {

  private record Cell(AtomicInteger outstanding, PassiveHealth health) {
    Cell() {
      this(new AtomicInteger(), new PassiveHealth());
    }
  }

  private final ConcurrentMap<UpstreamId, Cell> cells = new ConcurrentHashMap<>();
  private final Clock clock;

  UpstreamCells(Clock clock) {
    this.clock = clock;
  }

  void started(UpstreamId upstream) {
    cell(upstream).outstanding().incrementAndGet();
  }

  void answered(UpstreamId upstream) {
    cell(upstream).outstanding().decrementAndGet();
    cell(upstream).health().succeeded();
  }

  void refused(UpstreamId upstream) {
    cell(upstream).outstanding().decrementAndGet();
  }

  void broken(UpstreamId upstream) {
    cell(upstream).outstanding().decrementAndGet();
    cell(upstream).health().failed(clock.millis());
  }

  /** Forgets upstreams that are gone. */
  void keepOnly(Set<UpstreamId> known) {
    cells.entrySet().removeIf(e -> !known.contains(e.getKey()) && idle(e.getValue()));
  }

  private static boolean idle(Cell cell) {
    return cell.outstanding().get() == 0;
  }

  @Override
  public int outstanding(UpstreamId upstream) {
    Cell cell = cells.get(upstream);
    return cell == null ? 0 : cell.outstanding().get();
  }

  @Override
  public boolean ejected(UpstreamId upstream) {
    Cell cell = cells.get(upstream);
    return cell != null && cell.health().ejected(clock.millis());
  }

  private Cell cell(UpstreamId upstream) {
    return cells.computeIfAbsent(upstream, id -> new Cell());
  }
}
