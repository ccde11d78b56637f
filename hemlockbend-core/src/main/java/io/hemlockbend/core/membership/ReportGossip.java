package io.hemlockbend.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Gossips reports, such as brakes, to every node: each is sent a bounded number of times when first
 * received. While retained, reports are then sent round robin, one per message, so that nodes that
 * join later receive them too.
 *
 * @param <T> the type of report
 */
final class ReportGossip<T> {
  private static final int MAX_REPORTS = 4_096;

  private final LinkedHashSet<T> retained = new LinkedHashSet<>();
  private final GossipQueue<T, T> pending = new GossipQueue<>();
  private final List<T> received = new ArrayList<>();

  /** Starts to gossip a report; a report already retained is ignored. */
  void spread(T report) {
    if (retained.add(report)) {
      pending.offer(report, report);
      trim();
    }
  }

  /** Receives the reports of a message and gossips those that are new. */
  void receive(List<T> reports) {
    for (T report : reports) {
      if (!retained.contains(report)) {
        received.add(report);
        spread(report);
      }
    }
  }

  /** Returns the reports received for the first time since the last call. */
  List<T> drain() {
    List<T> drained = List.copyOf(received);
    received.clear();
    return drained;
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns the reports for one message: pending ones, or else the next retained one. */
  List<T> take(int max, int transmissions) {
    List<T> reports = pending.take(max, transmissions);
    if (!reports.isEmpty() || retained.isEmpty()) {
      return reports;
    }
    T next = retained.removeFirst();
    retained.addLast(next);
    return List.of(next);
  }

  /** Returns up to {@code max} of the retained reports, for a node that joins. */
  List<T> sample(int max) {
    return retained.reversed().stream().limit(max).toList();
  }

  /** Removes the reports that do not match the predicate. */
  void retain(Predicate<T> holds) {
    retained.removeIf(holds.negate());
  }

  private void trim() {
    Iterator<T> oldest = retained.iterator();
    while (retained.size() > MAX_REPORTS && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  Set<T> retained() {
    return retained;
  }
}
