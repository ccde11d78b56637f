package io.hemlockbend.core.admission;

import io.hemlockbend.core.api.Priority;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/** Requests that wait for a slot, the most urgent first and by arrival among equals. */
final class WaitQueue {

  /**
   * A waiting request.
   *
   * @param ticket its place
   * @param request the request
   */
  record Waiting(Ticket ticket, AdmissionRequest request) {}

  private static final Priority[] PRIORITIES = Priority.values();

  private final List<Deque<Waiting>> byPriority = new ArrayList<>(PRIORITIES.length);
  private int size;

  WaitQueue() {
    for (int i = 0; i < PRIORITIES.length; i++) {
      byPriority.add(new ArrayDeque<>());
    }
  }

  int size() {
    return size;
  }

  /** Returns how many would be served before a new request of this priority. */
  int ahead(Priority priority) {
    int count = 0;
    for (int i = 0; i <= priority.ordinal(); i++) {
      count += byPriority.get(i).size();
    }
    return count;
  }

  void add(Waiting waiting) {
    byPriority.get(waiting.request().priority().ordinal()).addLast(waiting);
    size++;
  }

  /** Returns the request to serve next, or null when none waits. */
  Waiting first() {
    for (Deque<Waiting> queue : byPriority) {
      if (!queue.isEmpty()) {
        return queue.peekFirst();
      }
    }
    return null;
  }

  void removeFirst() {
    for (Deque<Waiting> queue : byPriority) {
      if (queue.pollFirst() != null) {
        size--;
        return;
      }
    }
  }

  /** Takes out the latest request of the least urgent kind below a priority, or returns null. */
  Waiting shedBelow(Priority priority) {
    for (int i = PRIORITIES.length - 1; i > priority.ordinal(); i--) {
      Waiting last = byPriority.get(i).pollLast();
      if (last != null) {
        size--;
        return last;
      }
    }
    return null;
  }

  /** Takes out all requests that match. */
  List<Waiting> removeIf(Predicate<Waiting> matches) {
    List<Waiting> removed = new ArrayList<>();
    for (Deque<Waiting> queue : byPriority) {
      for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
        Waiting waiting = all.next();
        if (matches.test(waiting)) {
          all.remove();
          removed.add(waiting);
        }
      }
    }
    size -= removed.size();
    return removed;
  }
}
