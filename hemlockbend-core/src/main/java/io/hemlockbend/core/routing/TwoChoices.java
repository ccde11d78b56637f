package io.hemlockbend.core.routing;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Power of two choices: draws two candidates and takes the less loaded, which keeps the highest
 * load of n upstreams near the mean using only what the entry itself observes (Mitzenmacher, "The
 * Power of Two Choices in Randomized Load Balancing", 2001). Load is requests in flight per slot.
 */
final class TwoChoices {
  private static final int DRAWS = 4;

  private final UpstreamView view;

  TwoChoices(UpstreamView view) {
    this.view = view;
  }

  /** Returns one of the eligible candidates, or null if there is none. */
  Candidate choose(
      List<Candidate> candidates, Predicate<Candidate> eligible, RandomGenerator random) {
    if (candidates.isEmpty()) {
      return null;
    }
    Candidate first = draw(candidates, eligible, random);
    if (first == null) {
      return null;
    }
    Candidate second = draw(candidates, eligible, random);
    return load(second) < load(first) ? second : first;
  }

  /** Returns the load of a candidate; 1.0 means that this entry alone uses all its slots. */
  double load(Candidate candidate) {
    return (double) view.outstanding(candidate.upstream()) / candidate.slots();
  }

  private static Candidate draw(
      List<Candidate> candidates, Predicate<Candidate> eligible, RandomGenerator random) {
    int size = candidates.size();
    for (int i = 0; i < DRAWS; i++) {
      Candidate drawn = candidates.get(random.nextInt(size));
      if (eligible.test(drawn)) {
        return drawn;
      }
    }
    return scan(candidates, eligible, random.nextInt(size));
  }

  private static Candidate scan(
      List<Candidate> candidates, Predicate<Candidate> eligible, int offset) {
    int size = candidates.size();
    for (int i = 0; i < size; i++) {
      Candidate next = candidates.get((offset + i) % size);
      if (eligible.test(next)) {
        return next;
      }
    }
    return null;
  }
}
