package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the source from which to fetch a configuration that is known to exist: a peer that holds
 * it, another peer when the first does not answer, and the platform when no peer answers.
 */
final class Acquisition {
  /** A source of configurations. */
  sealed interface Source {
    /** Pulls from a peer: the whole configuration, or the changes since the one held. */
    record Peer(NodeId id, boolean fullBody) implements Source {}

    /** Reads the change lists from the table, exclusive of {@code after}. */
    record History(ConfigurationVersion after, ConfigurationVersion last) implements Source {}

    /** Fetches the whole configuration from the object store. */
    record Store(VersionMark mark) implements Source {}
  }

  private static final int MAX_HOLDERS = 8;
  private static final int PULLS_BEFORE_PLATFORM = 3;
  private static final long MAX_HISTORY_STEPS = 32;
  private static final long PLATFORM_BACKOFF_MILLIS = 500;
  private static final long PLATFORM_BACKOFF_MAX_MILLIS = 1_000;
  private static final long NEW_PROCESS_BACKOFF_MAX_MILLIS = 8_000;

  private final long pullTimeoutMillis;
  private final RandomGenerator random;
  private final LinkedHashMap<NodeId, VersionMark> holders = new LinkedHashMap<>();
  private VersionMark target = VersionMark.NONE;
  private long pullUntilMillis = Long.MIN_VALUE;
  private long platformUntilMillis = Long.MIN_VALUE;
  private long backoffMillis = PLATFORM_BACKOFF_MILLIS;
  private int pulls;
  private boolean requestFullBody;
  private boolean historyFailed;

  Acquisition(long pullTimeoutMillis, RandomGenerator random) {
    this.pullTimeoutMillis = pullTimeoutMillis;
    this.random = random;
  }

  VersionMark target() {
    return target;
  }

  /**
   * Records that a peer holds a configuration; the oldest entry is evicted when there are too many.
   */
  void addHolder(NodeId peer, VersionMark mark) {
    holders.remove(peer);
    holders.putLast(peer, mark);
    if (holders.size() > MAX_HOLDERS) {
      holders.pollFirstEntry();
    }
    raiseTarget(mark);
  }

  /** Raises the target to an accepted configuration if that is newer. */
  void raiseTarget(VersionMark mark) {
    if (mark.newerThan(target)) {
      target = mark;
      historyFailed = false;
    }
  }

  /**
   * Returns the source to ask now; empty when the target is already held, a pull is outstanding, or
   * no source is due.
   *
   * @param held the newest configuration held
   * @param reachable whether the address of a peer is known
   * @param nowMillis the time
   */
  Optional<Source> next(VersionMark held, Predicate<NodeId> reachable, long nowMillis) {
    if (!target.newerThan(held) || nowMillis < pullUntilMillis) {
      return Optional.empty();
    }
    boolean platformDue = nowMillis >= platformUntilMillis;
    boolean askPeer = pulls < PULLS_BEFORE_PLATFORM || !platformDue;
    Optional<NodeId> holder = askPeer ? pollHolder(held, reachable) : Optional.empty();
    if (holder.isPresent()) {
      pulls++;
      pullUntilMillis = nowMillis + pullTimeoutMillis;
      return Optional.of(new Source.Peer(holder.get(), requestFullBody));
    }
    if (!platformDue) {
      return Optional.empty();
    }
    pulls = 0;
    platformUntilMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis);
    boolean newProcess = held.version().equals(ConfigurationVersion.NONE);
    long maxMillis = newProcess ? NEW_PROCESS_BACKOFF_MAX_MILLIS : PLATFORM_BACKOFF_MAX_MILLIS;
    backoffMillis = Math.min(2 * backoffMillis, maxMillis);
    return Optional.of(platform(held));
  }

  private Source platform(VersionMark held) {
    long steps = target.version().value() - held.version().value();
    boolean holdsNone = held.version().equals(ConfigurationVersion.NONE);
    if (historyFailed || holdsNone || steps > MAX_HISTORY_STEPS) {
      return new Source.Store(target);
    }
    return new Source.History(held.version(), target.version());
  }

  private Optional<NodeId> pollHolder(VersionMark held, Predicate<NodeId> reachable) {
    holders.values().removeIf(mark -> !mark.newerThan(held));
    List<NodeId> reachableHolders = holders.keySet().stream().filter(reachable).toList();
    if (reachableHolders.isEmpty()) {
      return Optional.empty();
    }
    List<NodeId> newest =
        reachableHolders.stream().filter(id -> !target.newerThan(holders.get(id))).toList();
    List<NodeId> candidates = newest.isEmpty() ? reachableHolders : newest;
    NodeId chosen = candidates.get(random.nextInt(candidates.size()));
    holders.remove(chosen);
    return Optional.of(chosen);
  }

  /** Records that a configuration was obtained; timeouts and back-off are reset. */
  void succeeded() {
    pulls = 0;
    requestFullBody = false;
    pullUntilMillis = Long.MIN_VALUE;
    platformUntilMillis = Long.MIN_VALUE;
    backoffMillis = PLATFORM_BACKOFF_MILLIS;
  }

  /**
   * Records that what was received did not verify; the next request is for the whole configuration.
   */
  void verificationFailed() {
    requestFullBody = true;
    historyFailed = true;
    pullUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Records that the history could not be read; the platform read that follows uses the object
   * store.
   */
  void historyUnavailable() {
    historyFailed = true;
  }
}
