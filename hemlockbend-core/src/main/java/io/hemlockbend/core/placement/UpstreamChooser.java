package io.hemlockbend.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream by the power of two choices: the cheaper of two drawn at random. Upstreams in
 * the entry's failure domain that have spare capacity and few failures are preferred, which avoids
 * sending bodies between domains. Entries see loads with a delay; always choosing the least loaded
 * upstream would make all of them send to the same one.
 */
public final class UpstreamChooser {
  /** The highest load, as a share of the limit, at which a local upstream is preferred. */
  public static final double MAX_LOCAL_LOAD = 0.75;

  /** The highest share of failed requests at which a local upstream is preferred. */
  public static final double MAX_LOCAL_FAILURE_RATE = 0.1;

  /** The longest queueing time of a body at which a local upstream is preferred. */
  public static final double MAX_LOCAL_BODY_WAIT_MILLIS = 150;

  private final RandomGenerator random;

  /** Creates a chooser that draws from the given generator. */
  public UpstreamChooser(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the upstream for a request, or empty when the list is empty. */
  public Optional<PlacedUpstream> choose(List<PlacedUpstream> upstreams) {
    List<PlacedUpstream> local = new ArrayList<>(upstreams.size());
    for (PlacedUpstream upstream : upstreams) {
      boolean hasCapacity =
          upstream.running() + 1 <= MAX_LOCAL_LOAD * upstream.limit()
              && upstream.bodyWaitMillis() <= MAX_LOCAL_BODY_WAIT_MILLIS;
      if (upstream.local() && hasCapacity && upstream.failureRate() <= MAX_LOCAL_FAILURE_RATE) {
        local.add(upstream);
      }
    }
    return cheaperOfTwo(local.isEmpty() ? upstreams : local);
  }

  private Optional<PlacedUpstream> cheaperOfTwo(List<PlacedUpstream> upstreams) {
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
