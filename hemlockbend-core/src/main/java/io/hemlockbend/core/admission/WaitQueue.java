package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.placement.WaitingKind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for a slot: the most urgent first, among equals those that could wait least
 * when they came, then by arrival. Under overload the short calls that running requests make so go
 * before new requests that can wait longer, and runs which are half done are not wasted. The order
 * does not go by the time that is left: under overload most of those that wait have little left.
 */
final class WaitQueue {

  /**
   * A waiting request.
   *
   * @param ticket its place
   * @param request the request
   * @param patienceMillis how long it could wait when it came
   */
  record Waiting(Ticket ticket, AdmissionRequest request, long patienceMillis) {
    private WaitingKind kind() {
      return request.priority() == Priority.BULK
          ? WaitingKind.LATE
          : WaitingKind.inTime(patienceMillis);
    }

    /** Returns the patience as a power of two, so that requests of one kind stay in their order. */
    private int patienceClass() {
      return Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, patienceMillis));
    }
  }

  private static final Comparator<Waiting> ORDER =
      Comparator.<Waiting, Priority>comparing(waiting -> waiting.request().priority())
          .thenComparingInt(Waiting::patienceClass)
          .thenComparingLong(waiting -> waiting.ticket().number());

  private final NavigableSet<Waiting> waiting = new TreeSet<>(ORDER);

  int size() {
    return waiting.size();
  }

  /** Returns how many wait as a kind. */
  int count(WaitingKind kind) {
    int count = 0;
    for (Waiting one : waiting) {
      count += one.kind() == kind ? 1 : 0;
    }
    return count;
  }

  /** Returns how many would be served before a new request. */
  int ahead(AdmissionRequest request, long patienceMillis) {
    return waiting.headSet(asLatest(request, patienceMillis), false).size();
  }

  void add(Waiting one) {
    waiting.add(one);
  }

  /** Returns the request to serve next, or null when none waits. */
  Waiting first() {
    return waiting.isEmpty() ? null : waiting.first();
  }

  void removeFirst() {
    waiting.pollFirst();
  }

  /** Takes out the request that would be served last, if a new one goes before it; else null. */
  Waiting shedBehind(Waiting news) {
    boolean behind = !waiting.isEmpty() && ORDER.compare(waiting.last(), news) > 0;
    return behind ? waiting.pollLast() : null;
  }

  /** Takes out all requests that match. */
  List<Waiting> removeIf(Predicate<Waiting> matches) {
    List<Waiting> removed = new ArrayList<>();
    for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
      Waiting one = all.next();
      if (matches.test(one)) {
        all.remove();
        removed.add(one);
      }
    }
    return removed;
  }

  private static Waiting asLatest(AdmissionRequest request, long patienceMillis) {
    return new Waiting(new Ticket(Long.MAX_VALUE), request, patienceMillis);
  }
}
