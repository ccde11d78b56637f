package io.hemlockbend.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream: one in the entry's own failure domain while any there has room and answers
 * well, so that bodies do not cross between domains without need; else the less loaded of two drawn
 * at random. Entries see loads with a delay; two choices keep them from all rushing to the one that
 * was least loaded a moment ago.
 */
public final class UpstreamChooser {
  /** How full an upstream of the own domain may be to be chosen before others. */
  public static final double NEAR_FILL = 0.75;

  /** The share of failures above which being near counts for nothing. */
  public static final double NEAR_FAILURES = 0.1;

  /** For how long a body may wait at an upstream of the own domain before others are used too. */
  public static final double NEAR_BODY_WAIT_MILLIS = 150;

  private final RandomGenerator random;

  /** Makes a chooser that draws from a generator. */
  public UpstreamChooser(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the upstream for a request, or empty when there is none. */
  public Optional<PlacedUpstream> choose(List<PlacedUpstream> upstreams) {
    List<PlacedUpstream> near = new ArrayList<>(upstreams.size());
    for (PlacedUpstream upstream : upstreams) {
      boolean room =
          upstream.running() + 1 <= NEAR_FILL * upstream.limit()
              && upstream.bodyWaitMillis() <= NEAR_BODY_WAIT_MILLIS;
      if (upstream.near() && room && upstream.failureShare() <= NEAR_FAILURES) {
        near.add(upstream);
      }
    }
    return lessLoadedOfTwo(near.isEmpty() ? upstreams : near);
  }

  private Optional<PlacedUpstream> lessLoadedOfTwo(List<PlacedUpstream> upstreams) {
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
