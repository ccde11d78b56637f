package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.placement.SlackClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for a slot, ordered by priority, then by their slack on arrival, then
 * by arrival. Under overload, nested calls of running requests are thereby served before new
 * requests that can wait longer, so that requests in progress are not wasted. The order does not
 * use the remaining time, since under overload most queued requests have little left.
 */
final class WaitQueue {

  /**
   * A queued request.
   *
   * @param ticket its place in the queue
   * @param request the request
   * @param slackMillis how long it could wait on arrival without missing its deadline
   */
  record Waiting(Ticket ticket, AdmissionRequest request, long slackMillis) {
    private SlackClass slackClass() {
      return request.priority() == Priority.BULK
          ? SlackClass.LATE
          : SlackClass.ofSlack(slackMillis);
    }

    /** Returns the binary order of magnitude of the slack; equal ones keep the order of arrival. */
    private int slackMagnitude() {
      return Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, slackMillis));
    }
  }

  private static final Comparator<Waiting> ORDER =
      Comparator.<Waiting, Priority>comparing(waiting -> waiting.request().priority())
          .thenComparingInt(Waiting::slackMagnitude)
          .thenComparingLong(waiting -> waiting.ticket().number());

  private final NavigableSet<Waiting> waiting = new TreeSet<>(ORDER);

  int size() {
    return waiting.size();
  }

  /** Returns the number of requests of a class. */
  int count(SlackClass slackClass) {
    int count = 0;
    for (Waiting queued : waiting) {
      count += queued.slackClass() == slackClass ? 1 : 0;
    }
    return count;
  }

  /** Returns how many queued requests would be served before a new request. */
  int ahead(AdmissionRequest request, long slackMillis) {
    return waiting.headSet(asLatest(request, slackMillis), false).size();
  }

  void add(Waiting queued) {
    waiting.add(queued);
  }

  /** Returns the request to serve next, or null if the queue is empty. */
  Waiting first() {
    return waiting.isEmpty() ? null : waiting.first();
  }

  void removeFirst() {
    waiting.pollFirst();
  }

  /** Removes and returns the last request if a new request goes before it, else returns null. */
  Waiting pollLastIfBehind(Waiting arrival) {
    boolean behind = !waiting.isEmpty() && ORDER.compare(waiting.last(), arrival) > 0;
    return behind ? waiting.pollLast() : null;
  }

  /** Removes and returns all requests that match. */
  List<Waiting> removeIf(Predicate<Waiting> matches) {
    List<Waiting> removed = new ArrayList<>();
    for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
      Waiting queued = all.next();
      if (matches.test(queued)) {
        all.remove();
        removed.add(queued);
      }
    }
    return removed;
  }

  private static Waiting asLatest(AdmissionRequest request, long slackMillis) {
    return new Waiting(new Ticket(Long.MAX_VALUE), request, slackMillis);
  }
}
