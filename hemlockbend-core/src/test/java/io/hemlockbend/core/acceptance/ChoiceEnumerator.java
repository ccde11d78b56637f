package io.hemlockbend.core.acceptance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enumerates every sequence of choices depth first; the simulation is run once for each. A run that
 * reaches a state already visited by another run ends there, since all continuations of that state
 * are explored from the first visit.
 */
final class ChoiceEnumerator {
  private final List<Integer> path = new ArrayList<>();
  private final List<Integer> widths = new ArrayList<>();
  private final Map<Object, Integer> partIds = new HashMap<>();
  private final Set<List<Integer>> visited = new HashSet<>();
  private int depth;

  /** Returns the choice, or -1 when the state was visited before. */
  int choose(int width, List<?> state) {
    if (depth == path.size()) {
      if (!visited.add(state.stream().map(this::partId).toList())) {
        return -1;
      }
      path.add(0);
      widths.add(width);
    }
    return path.get(depth++);
  }

  private int partId(Object part) {
    return partIds.computeIfAbsent(part, p -> partIds.size());
  }

  int states() {
    return visited.size();
  }

  /** Advances to the next sequence; returns false when all were explored. */
  boolean next() {
    depth = 0;
    while (!path.isEmpty()) {
      int last = path.size() - 1;
      if (path.get(last) + 1 < widths.get(last)) {
        path.set(last, path.get(last) + 1);
        return true;
      }
      path.remove(last);
      widths.remove(last);
    }
    return false;
  }

  @Override
  public String toString() {
    return path.toString();
  }
}
