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
 * Decides where to get a configuration that is known to exist: from a peer that holds it, from
 * another when the first does not answer, and from the platform when no peer does.
 */
final class Acquisition {
  /** Where to ask. */
  sealed interface Source {
    /** Ask a peer. */
    record Peer(NodeId id, boolean whole) implements Source {}

    /** Read the change lists from the table. */
    record History(ConfigurationVersion after, ConfigurationVersion last) implements Source {}

    /** Fetch the whole configuration from the object store. */
    record Store(VersionMark mark) implements Source {}
  }

  private static final int HOLDERS_KEPT = 8;
  private static final int PULLS_BEFORE_PLATFORM = 3;
  private static final long HISTORY_STEPS_MAX = 32;
  private static final long PLATFORM_BACKOFF_MILLIS = 500;
  private static final long PLATFORM_BACKOFF_MAX_MILLIS = 1_000;
  private static final long NEW_PROCESS_BACKOFF_MAX_MILLIS = 8_000;

  private final long pullTimeoutMillis;
  private final RandomGenerator random;
  private final LinkedHashMap<NodeId, VersionMark> holders = new LinkedHashMap<>();
  private VersionMark wanted = VersionMark.NONE;
  private long pullUntilMillis = Long.MIN_VALUE;
  private long platformUntilMillis = Long.MIN_VALUE;
  private long backoffMillis = PLATFORM_BACKOFF_MILLIS;
  private int pulls;
  private boolean whole;
  private boolean historyFailed;

  Acquisition(long pullTimeoutMillis, RandomGenerator random) {
    this.pullTimeoutMillis = pullTimeoutMillis;
    this.random = random;
  }

  VersionMark wanted() {
    return wanted;
  }

  /** Notes that a peer holds a configuration. */
  void heldBy(NodeId peer, VersionMark mark) {
    holders.remove(peer);
    holders.putLast(peer, mark);
    if (holders.size() > HOLDERS_KEPT) {
      holders.pollFirstEntry();
    }
    want(mark);
  }

  /** Notes that a configuration was accepted. */
  void want(VersionMark mark) {
    if (mark.newerThan(wanted)) {
      wanted = mark;
      historyFailed = false;
    }
  }

  /**
   * Returns where to ask now, when something newer than what is held is wanted.
   *
   * @param held what is held
   * @param reachable whether the address of a peer is known
   * @param nowMillis the time
   */
  Optional<Source> next(VersionMark held, Predicate<NodeId> reachable, long nowMillis) {
    if (!wanted.newerThan(held) || nowMillis < pullUntilMillis) {
      return Optional.empty();
    }
    boolean platformDue = nowMillis >= platformUntilMillis;
    boolean askPeer = pulls < PULLS_BEFORE_PLATFORM || !platformDue;
    Optional<NodeId> holder = askPeer ? takeHolder(held, reachable) : Optional.empty();
    if (holder.isPresent()) {
      pulls++;
      pullUntilMillis = nowMillis + pullTimeoutMillis;
      return Optional.of(new Source.Peer(holder.get(), whole));
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
    long steps = wanted.version().value() - held.version().value();
    boolean fromNothing = held.version().equals(ConfigurationVersion.NONE);
    if (historyFailed || fromNothing || steps > HISTORY_STEPS_MAX) {
      return new Source.Store(wanted);
    }
    return new Source.History(held.version(), wanted.version());
  }

  private Optional<NodeId> takeHolder(VersionMark held, Predicate<NodeId> reachable) {
    holders.values().removeIf(mark -> !mark.newerThan(held));
    List<NodeId> known = holders.keySet().stream().filter(reachable).toList();
    if (known.isEmpty()) {
      return Optional.empty();
    }
    List<NodeId> newest = known.stream().filter(id -> !wanted.newerThan(holders.get(id))).toList();
    List<NodeId> choice = newest.isEmpty() ? known : newest;
    NodeId chosen = choice.get(random.nextInt(choice.size()));
    holders.remove(chosen);
    return Optional.of(chosen);
  }

  /** Notes that a configuration was taken in. */
  void obtained() {
    pulls = 0;
    whole = false;
    pullUntilMillis = Long.MIN_VALUE;
    platformUntilMillis = Long.MIN_VALUE;
    backoffMillis = PLATFORM_BACKOFF_MILLIS;
  }

  /** Notes that changes did not lead to the digest; the whole configuration is asked for next. */
  void changesRefused() {
    whole = true;
    historyFailed = true;
    pullUntilMillis = Long.MIN_VALUE;
  }

  /** Notes that the history could not be read, so the object store is asked next. */
  void historyUnavailable() {
    historyFailed = true;
  }
}
