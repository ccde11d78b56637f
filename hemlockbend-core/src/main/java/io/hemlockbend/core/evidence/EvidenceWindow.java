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
 * Collects the reports of many nodes in buckets of one second, keeps the last two minutes and
 * judges moves on request. Duplicate reports are ignored, and reports may arrive in any order.
 *
 * <p>Reports carry no timestamp and are assigned to a bucket by arrival time. Nodes report at the
 * full seconds of their clocks, so buckets start at the half seconds: a report delayed by less than
 * half a second falls into the same bucket as the others of its second.
 *
 * <p>Each bucket is compared once, after it has ended, so the cost grows with the routes and
 * domains of the moving services and not with the retention time.
 */
public final class EvidenceWindow {
  /** Retention time of evidence. */
  public static final long RETENTION_MILLIS = 120_000;

  /** The length of a bucket. */
  public static final long BUCKET_MILLIS = 1_000;

  private final Map<VersionKey, TreeMap<Long, SortedMap<RouteAndDomain, Counts>>> buckets =
      new HashMap<>();
  private final Map<NodeId, SeenSequences> seen = new HashMap<>();
  private final Map<MoveKey, VersionComparison> comparisons = new HashMap<>();

  /**
   * Adds a report unless it is a duplicate.
   *
   * @param report the report
   * @param nowMillis the arrival time in milliseconds since the epoch
   * @return false for a duplicate, or for a report at least 64 sequence numbers behind the newest
   *     of its sender
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
   * Drops evidence older than {@link #RETENTION_MILLIS} and comparisons of moves for which no
   * verdict was requested for that long.
   *
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void expire(long nowMillis) {
    long oldest = bucketStart(nowMillis - RETENTION_MILLIS);
    buckets.values().forEach(byTime -> byTime.headMap(oldest).clear());
    buckets.values().removeIf(TreeMap::isEmpty);
    seen.values().removeIf(sequences -> sequences.lastMillis < nowMillis - RETENTION_MILLIS);
    comparisons
        .values()
        .removeIf(comparison -> comparison.lastVerdictMillis() < nowMillis - RETENTION_MILLIS);
  }

  /**
   * Compares the target version of a move with its predecessor.
   *
   * @param move the move; towards a good verdict only calls since its last increase of share count
   * @param nowMillis the time in milliseconds since the epoch
   */
  public Verdict verdict(Move move, long nowMillis) {
    VersionKey from = new VersionKey(move.service(), move.from());
    VersionKey to = new VersionKey(move.service(), move.to());
    VersionComparison comparison =
        comparisons.computeIfAbsent(
            new MoveKey(from, to, move.startMillis()), key -> new VersionComparison());
    long end = bucketStart(nowMillis);
    strata(from, to, comparison.comparedUntilMillis(), end).forEach(comparison::add);
    return comparison.verdict(move.sharePermille(), end, nowMillis);
  }

  /**
   * Returns the strata of two versions, ordered by time.
   *
   * @param from the predecessor
   * @param to the version under judgement
   * @param sinceMillis start of the earliest bucket to include
   * @param beforeMillis only buckets that ended by this time
   */
  public List<Stratum> strata(VersionKey from, VersionKey to, long sinceMillis, long beforeMillis) {
    long end = bucketStart(beforeMillis);
    SortedMap<Long, SortedMap<RouteAndDomain, Counts>> oldBuckets =
        bucketRange(from, sinceMillis, end);
    SortedMap<Long, SortedMap<RouteAndDomain, Counts>> freshBuckets =
        bucketRange(to, sinceMillis, end);
    TreeSet<Long> times = new TreeSet<>(oldBuckets.keySet());
    times.addAll(freshBuckets.keySet());
    List<Stratum> strata = new ArrayList<>();
    for (Long at : times) {
      SortedMap<RouteAndDomain, Counts> old = oldBuckets.getOrDefault(at, new TreeMap<>());
      SortedMap<RouteAndDomain, Counts> fresh = freshBuckets.getOrDefault(at, new TreeMap<>());
      TreeSet<RouteAndDomain> keys = new TreeSet<>(old.keySet());
      keys.addAll(fresh.keySet());
      for (RouteAndDomain key : keys) {
        strata.add(
            new Stratum(
                at,
                key.route(),
                key.domain(),
                old.getOrDefault(key, Counts.NONE),
                fresh.getOrDefault(key, Counts.NONE)));
      }
    }
    return strata;
  }

  private SortedMap<Long, SortedMap<RouteAndDomain, Counts>> bucketRange(
      VersionKey key, long since, long end) {
    TreeMap<Long, SortedMap<RouteAndDomain, Counts>> byTime = buckets.get(key);
    return byTime == null || since >= end ? new TreeMap<>() : byTime.subMap(since, end);
  }

  private void add(RouteEvidence evidence, long nowMillis) {
    Counts counts =
        new Counts(
            evidence.calls(), evidence.failures(), evidence.slowCalls(), evidence.totalMillis());
    buckets
        .computeIfAbsent(evidence.key(), key -> new TreeMap<>())
        .computeIfAbsent(bucketStart(nowMillis), key -> new TreeMap<>())
        .merge(new RouteAndDomain(evidence.route(), evidence.domain()), counts, Counts::plus);
  }

  private static long bucketStart(long nowMillis) {
    long half = BUCKET_MILLIS / 2;
    return Math.floorDiv(nowMillis + half, BUCKET_MILLIS) * BUCKET_MILLIS - half;
  }

  private record MoveKey(VersionKey from, VersionKey to, long startMillis) {}

  /** Sliding bitmap over a sender's sequence numbers: the highest and the 63 below it. */
  private static final class SeenSequences {
    private static final int BITS = Long.SIZE;

    private long highest = Long.MIN_VALUE;
    private long seenBits;
    private long lastMillis;

    boolean add(long sequence, long nowMillis) {
      lastMillis = nowMillis;
      if (highest == Long.MIN_VALUE || sequence - highest >= BITS) {
        highest = sequence;
        seenBits = 1;
        return true;
      }
      if (sequence > highest) {
        seenBits = (seenBits << (sequence - highest)) | 1;
        highest = sequence;
        return true;
      }
      long distance = highest - sequence;
      if (distance >= BITS || (seenBits & (1L << distance)) != 0) {
        return false;
      }
      seenBits |= 1L << distance;
      return true;
    }
  }
}
