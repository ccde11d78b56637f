package io.hemlockbend.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Spreads reports, such as brakes, that every node is to know: each is sent on a bounded number of
 * times when first heard, and then one after the other with the ordinary messages while it is kept,
 * so that nodes that joined later hear it too.
 *
 * @param <T> the kind of report
 */
final class ReportSpread<T> {
  private static final int KEPT_REPORTS = 4_096;

  private final LinkedHashSet<T> kept = new LinkedHashSet<>();
  private final GossipQueue<T, T> fresh = new GossipQueue<>();
  private final List<T> received = new ArrayList<>();

  /** Starts to spread a report of this node. */
  void spread(T report) {
    if (kept.add(report)) {
      fresh.offer(report, report);
      trim();
    }
  }

  /** Takes in the reports of a message. */
  void receive(List<T> reports) {
    for (T report : reports) {
      if (!kept.contains(report)) {
        received.add(report);
        spread(report);
      }
    }
  }

  /** Returns what was received for the first time since the last call. */
  List<T> drain() {
    List<T> drained = List.copyOf(received);
    received.clear();
    return drained;
  }

  boolean hasFresh() {
    return !fresh.isEmpty();
  }

  /** Returns the reports for one message: fresh ones, or else the next of those kept. */
  List<T> take(int max, int transmissions) {
    List<T> reports = fresh.take(max, transmissions);
    if (!reports.isEmpty() || kept.isEmpty()) {
      return reports;
    }
    T next = kept.removeFirst();
    kept.addLast(next);
    return List.of(next);
  }

  /** Returns some of the reports kept, for a node that joins. */
  List<T> sample(int max) {
    return kept.reversed().stream().limit(max).toList();
  }

  /** Forgets the reports that no longer hold. */
  void retain(Predicate<T> holds) {
    kept.removeIf(holds.negate());
  }

  private void trim() {
    Iterator<T> oldest = kept.iterator();
    while (kept.size() > KEPT_REPORTS && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  Set<T> kept() {
    return kept;
  }
}
