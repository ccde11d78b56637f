package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.message.PeerMessage.EvidenceReport;
import io.hemlockbend.core.message.PeerMessage.RouteEvidence;
import io.hemlockbend.core.model.Move;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Gathers the reports of many nodes in buckets of a second, keeps the last two minutes and judges
 * the moves that it is asked about. A report counts once, however often and in whatever order it
 * comes.
 *
 * <p>A report is put where it arrives in time, since it carries no time of its own. Nodes report at
 * the full seconds of their clocks, so the buckets change at the half seconds: reports that are
 * late by less than half a second meet those of the same second.
 *
 * <p>Each bucket is compared once, when it is over, so the work grows with the routes and domains
 * of the services that move and not with the time kept.
 */
public final class EvidenceWindow {
  /** How long evidence is kept. */
  public static final long KEPT_MILLIS = 120_000;

  /** The length of a bucket. */
  public static final long BUCKET_MILLIS = 1_000;

  private final Map<VersionKey, TreeMap<Long, SortedMap<Place, Counts>>> buckets = new HashMap<>();
  private final Map<NodeId, SeenSequences> seen = new HashMap<>();
  private final Map<MoveKey, VersionComparison> comparisons = new HashMap<>();

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
   * Drops what is older than the window keeps, and the judgement of moves that nobody asked about
   * for that long.
   *
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void expire(long nowMillis) {
    long oldest = bucketStart(nowMillis - KEPT_MILLIS);
    buckets.values().forEach(byTime -> byTime.headMap(oldest).clear());
    buckets.values().removeIf(TreeMap::isEmpty);
    seen.values().removeIf(sequences -> sequences.lastMillis < nowMillis - KEPT_MILLIS);
    comparisons.values().removeIf(comparison -> comparison.askedMillis() < nowMillis - KEPT_MILLIS);
  }

  /**
   * Judges the version that a move goes to against its predecessor.
   *
   * @param move the move; calls count towards good only from when it had its present share
   * @param nowMillis the time in milliseconds since the epoch
   */
  public Verdict verdict(Move move, long nowMillis) {
    VersionKey from = new VersionKey(move.service(), move.from());
    VersionKey to = new VersionKey(move.service(), move.to());
    VersionComparison comparison =
        comparisons.computeIfAbsent(
            new MoveKey(from, to, move.startMillis()), key -> new VersionComparison());
    long end = bucketStart(nowMillis);
    strata(from, to, comparison.comparedMillis(), end).forEach(comparison::add);
    return comparison.verdict(move.sharePermille(), end, nowMillis);
  }

  /**
   * Returns the calls of two versions, side by side, in the order of time.
   *
   * @param from the predecessor
   * @param to the version that is judged
   * @param sinceMillis only buckets that began then or later
   * @param beforeMillis only whole buckets that ended by then
   */
  public List<Stratum> strata(VersionKey from, VersionKey to, long sinceMillis, long beforeMillis) {
    long end = bucketStart(beforeMillis);
    SortedMap<Long, SortedMap<Place, Counts>> olds = part(from, sinceMillis, end);
    SortedMap<Long, SortedMap<Place, Counts>> freshes = part(to, sinceMillis, end);
    TreeSet<Long> times = new TreeSet<>(olds.keySet());
    times.addAll(freshes.keySet());
    List<Stratum> strata = new ArrayList<>();
    for (Long at : times) {
      SortedMap<Place, Counts> old = olds.getOrDefault(at, new TreeMap<>());
      SortedMap<Place, Counts> fresh = freshes.getOrDefault(at, new TreeMap<>());
      TreeSet<Place> places = new TreeSet<>(old.keySet());
      places.addAll(fresh.keySet());
      for (Place place : places) {
        strata.add(
            new Stratum(
                at,
                place.route(),
                place.domain(),
                old.getOrDefault(place, Counts.NONE),
                fresh.getOrDefault(place, Counts.NONE)));
      }
    }
    return strata;
  }

  private SortedMap<Long, SortedMap<Place, Counts>> part(VersionKey key, long since, long end) {
    TreeMap<Long, SortedMap<Place, Counts>> byTime = buckets.get(key);
    return byTime == null || since >= end ? new TreeMap<>() : byTime.subMap(since, end);
  }

  private void add(RouteEvidence evidence, long nowMillis) {
    Counts counts =
        new Counts(
            evidence.calls(), evidence.failures(), evidence.slowCalls(), evidence.totalMillis());
    buckets
        .computeIfAbsent(evidence.key(), key -> new TreeMap<>())
        .computeIfAbsent(bucketStart(nowMillis), key -> new TreeMap<>())
        .merge(new Place(evidence.route(), evidence.domain()), counts, Counts::plus);
  }

  private static long bucketStart(long nowMillis) {
    long half = BUCKET_MILLIS / 2;
    return Math.floorDiv(nowMillis + half, BUCKET_MILLIS) * BUCKET_MILLIS - half;
  }

  private record MoveKey(VersionKey from, VersionKey to, long startMillis) {}

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
