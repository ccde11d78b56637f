package io.hemlockbend.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two upstreams drawn at random. Entries see loads with a delay; two
 * choices keep them from all rushing to the one that was least loaded a moment ago.
 */
public final class UpstreamChooser {
  private final RandomGenerator random;

  /** Makes a chooser that draws from a generator. */
  public UpstreamChooser(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the upstream for a request, or empty when there is none. */
  public Optional<PlacedUpstream> choose(List<PlacedUpstream> upstreams) {
    if (upstreams.isEmpty()) {
      return Optional.empty();
    }
    int first = random.nextInt(upstreams.size());
    if (upstreams.size() == 1) {
      return Optional.of(upstreams.get(first));
    }
    int second = random.nextInt(upstreams.size() - 1);
    if (second >= first) {
      second++;
    }
    PlacedUpstream one = upstreams.get(first);
    PlacedUpstream other = upstreams.get(second);
    return Optional.of(one.cost() <= other.cost() ? one : other);
  }
}
