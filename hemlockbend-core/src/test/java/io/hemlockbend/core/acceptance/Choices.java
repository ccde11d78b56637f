package io.hemlockbend.core.acceptance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enumerates every sequence of choices of a run, depth first; the run is repeated for each. A run
 * that comes to a state which another run was in before ends there, since all that can follow has
 * been or will be tried from that one.
 */
final class Choices {
  private final List<Integer> path = new ArrayList<>();
  private final List<Integer> widths = new ArrayList<>();
  private final Map<Object, Integer> numbers = new HashMap<>();
  private final Set<List<Integer>> seen = new HashSet<>();
  private int depth;

  /** Returns the choice, or -1 when the state was seen before. */
  int choose(int width, List<?> state) {
    if (depth == path.size()) {
      if (!seen.add(state.stream().map(this::number).toList())) {
        return -1;
      }
      path.add(0);
      widths.add(width);
    }
    return path.get(depth++);
  }

  private int number(Object part) {
    return numbers.computeIfAbsent(part, p -> numbers.size());
  }

  int states() {
    return seen.size();
  }

  /** Goes on to the next sequence; false when all were tried. */
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
