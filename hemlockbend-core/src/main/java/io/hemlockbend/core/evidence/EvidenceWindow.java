package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Gathers the reports of many nodes in buckets of a second and keeps the last two minutes. A report
 * counts once, however often and in whatever order it comes.
 *
 * <p>A report is put where it arrives in time, since it carries no time of its own. Nodes report at
 * the full seconds of their clocks, so the buckets change at the half seconds: reports that are
 * late by less than half a second meet those of the same second.
 */
public final class EvidenceWindow {
  /** How long evidence is kept. */
  public static final long KEPT_MILLIS = 120_000;

  /** The length of a bucket. */
  public static final long BUCKET_MILLIS = 1_000;

  private static final Comparator<Stratum> ORDER =
      Comparator.comparingLong(Stratum::atMillis)
          .thenComparing(Stratum::route)
          .thenComparing(Stratum::domain);

  private final Map<VersionKey, Map<Place, TreeMap<Long, Counts>>> series = new HashMap<>();
  private final Map<NodeId, SeenSequences> seen = new HashMap<>();

  /**
   * Adds a report, unless it was added before.
   *
   * @param report the report
   * @param nowMillis when it arrived
   * @return whether it was new
   */
  public boolean accept(EvidenceReport report, long nowMillis) {
    SeenSequences sequences = seen.computeIfAbsent(report.sender(), id -> new SeenSequences());
    if (!sequences.add(report.sequence(), nowMillis)) {
      return false;
    }
    report.evidence().forEach(evidence -> add(evidence, nowMillis));
    return true;
  }

  /**
   * Drops what is older than the window keeps.
   *
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void expire(long nowMillis) {
    long oldest = bucketStart(nowMillis - KEPT_MILLIS);
    for (Map<Place, TreeMap<Long, Counts>> places : series.values()) {
      places.values().forEach(buckets -> buckets.headMap(oldest).clear());
      places.values().removeIf(TreeMap::isEmpty);
    }
    series.values().removeIf(Map::isEmpty);
    seen.values().removeIf(sequences -> sequences.lastMillis < nowMillis - KEPT_MILLIS);
  }

  /**
   * Returns the calls of two versions, side by side, in the order of time.
   *
   * @param from the predecessor
   * @param to the version that is judged
   * @param beforeMillis only whole buckets that ended by then
   */
  public List<Stratum> strata(VersionKey from, VersionKey to, long beforeMillis) {
    Map<Place, TreeMap<Long, Counts>> olds = series.getOrDefault(from, Map.of());
    Map<Place, TreeMap<Long, Counts>> freshes = series.getOrDefault(to, Map.of());
    long end = bucketStart(beforeMillis);
    List<Stratum> strata = new ArrayList<>();
    freshes.forEach(
        (place, fresh) -> {
          TreeMap<Long, Counts> old = olds.getOrDefault(place, new TreeMap<>());
          fresh.headMap(end).forEach((at, counts) -> strata.add(place.at(at, old.get(at), counts)));
          old.headMap(end).forEach((at, counts) -> addOldOnly(strata, place, at, counts, fresh));
        });
    olds.forEach(
        (place, old) -> {
          if (!freshes.containsKey(place)) {
            old.headMap(end).forEach((at, counts) -> strata.add(place.at(at, counts, null)));
          }
        });
    strata.sort(ORDER);
    return strata;
  }

  private static void addOldOnly(
      List<Stratum> strata, Place place, long at, Counts old, TreeMap<Long, Counts> fresh) {
    if (!fresh.containsKey(at)) {
      strata.add(place.at(at, old, null));
    }
  }

  private void add(RouteEvidence evidence, long nowMillis) {
    Counts counts =
        new Counts(
            evidence.calls(), evidence.failures(), evidence.slowCalls(), evidence.totalMillis());
    series
        .computeIfAbsent(evidence.key(), key -> new HashMap<>())
        .computeIfAbsent(new Place(evidence.route(), evidence.domain()), key -> new TreeMap<>())
        .merge(bucketStart(nowMillis), counts, Counts::plus);
  }

  private static long bucketStart(long nowMillis) {
    long half = BUCKET_MILLIS / 2;
    return Math.floorDiv(nowMillis + half, BUCKET_MILLIS) * BUCKET_MILLIS - half;
  }

  private record Place(RouteName route, FailureDomain domain) {
    Stratum at(long atMillis, Counts old, Counts fresh) {
      return new Stratum(
          atMillis,
          route,
          domain,
          old == null ? Counts.NONE : old,
          fresh == null ? Counts.NONE : fresh);
    }
  }

  /** Which of a sender's reports were seen: the highest number and the 63 below it. */
  private static final class SeenSequences {
    private static final int BITS = Long.SIZE;

    private long highest = Long.MIN_VALUE;
    private long below;
    private long lastMillis;

    boolean add(long sequence, long nowMillis) {
      lastMillis = nowMillis;
      if (highest == Long.MIN_VALUE || sequence - highest >= BITS) {
        highest = sequence;
        below = 1;
        return true;
      }
      if (sequence > highest) {
        below = (below << (sequence - highest)) | 1;
        highest = sequence;
        return true;
      }
      long back = highest - sequence;
      if (back >= BITS || (below & (1L << back)) != 0) {
        return false;
      }
      below |= 1L << back;
      return true;
    }
  }
}
