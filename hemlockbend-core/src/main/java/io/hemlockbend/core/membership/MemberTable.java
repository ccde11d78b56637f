package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * All claims that a node holds about the others, with one hash for each bucket of live members, so
 * that anti-entropy can compare two views in a message of bounded size.
 */
final class MemberTable {
  static final int BUCKETS = 256;

  private final RandomGenerator random;
  private final Map<NodeId, Member> claims = new HashMap<>();
  private final List<NodeId> live = new ArrayList<>();
  private final Map<NodeId, Integer> livePositions = new HashMap<>();
  private final LinkedHashMap<NodeId, Long> suspectSince = new LinkedHashMap<>();
  private final LinkedHashMap<NodeId, Long> goneSince = new LinkedHashMap<>();
  private final int[] bucketHashes = new int[BUCKETS];
  private long changes;

  MemberTable(RandomGenerator random) {
    this.random = random;
  }

  /** Merges a claim; returns whether it changed more than the applied version. */
  boolean merge(Member claim, long nowMillis) {
    Member known = claims.get(claim.id());
    if (known == null) {
      return !gone(claim) && put(claim, nowMillis);
    }
    Member merged = MemberMerge.merge(known, claim);
    if (merged == known) {
      return false;
    }
    if (merged.withApplied(known.applied()).equals(known)) {
      claims.put(merged.id(), merged);
      return false;
    }
    remove(known);
    return put(merged, nowMillis);
  }

  /** Records the version that a member has in force, without gossiping it. */
  void applied(NodeId id, ConfigurationVersion version) {
    claims.computeIfPresent(
        id,
        (key, known) -> version.newerThan(known.applied()) ? known.withApplied(version) : known);
  }

  private boolean put(Member member, long nowMillis) {
    NodeId id = member.id();
    claims.put(id, member);
    changes++;
    if (gone(member)) {
      goneSince.put(id, nowMillis);
      return true;
    }
    if (member.status() == MemberStatus.SUSPECT) {
      suspectSince.put(id, nowMillis);
    }
    livePositions.put(id, live.size());
    live.add(id);
    bucketHashes[bucket(id)] ^= hash(member);
    return true;
  }

  private void remove(Member member) {
    NodeId id = member.id();
    claims.remove(id);
    suspectSince.remove(id);
    goneSince.remove(id);
    Integer position = livePositions.remove(id);
    if (position == null) {
      return;
    }
    NodeId last = live.removeLast();
    if (!last.equals(id)) {
      live.set(position, last);
      livePositions.put(last, position);
    }
    bucketHashes[bucket(id)] ^= hash(member);
  }

  private static boolean gone(Member member) {
    return member.status() == MemberStatus.DEAD || member.status() == MemberStatus.LEFT;
  }

  /** Evicts members that have been dead or have left for longer than the retention period. */
  void evictGone(long nowMillis, long retentionMillis) {
    Iterator<Map.Entry<NodeId, Long>> oldest = goneSince.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<NodeId, Long> entry = oldest.next();
      if (nowMillis - entry.getValue() <= retentionMillis) {
        return;
      }
      oldest.remove();
      claims.remove(entry.getKey());
      changes++;
    }
  }

  /** Returns the suspects that did not refute within the suspicion timeout. */
  List<Member> expiredSuspects(long nowMillis, long suspicionMillis) {
    List<Member> overdue = new ArrayList<>();
    for (Map.Entry<NodeId, Long> entry : suspectSince.entrySet()) {
      if (nowMillis - entry.getValue() < suspicionMillis) {
        break;
      }
      overdue.add(claims.get(entry.getKey()));
    }
    return overdue;
  }

  /** Restarts the suspicion timeout of all suspects. */
  void restartSuspicionTimeouts(long nowMillis) {
    suspectSince.replaceAll((id, since) -> nowMillis);
  }

  Optional<Member> find(NodeId id) {
    return Optional.ofNullable(claims.get(id));
  }

  Collection<Member> all() {
    return Collections.unmodifiableCollection(claims.values());
  }

  int liveCount() {
    return live.size();
  }

  List<NodeId> liveIds() {
    return Collections.unmodifiableList(live);
  }

  boolean liveAt(NodeAddress address) {
    return live.stream().anyMatch(id -> claims.get(id).control().equals(address));
  }

  /** Returns up to {@code count} distinct live members at random. */
  List<Member> randomLive(int count) {
    int wanted = Math.min(count, live.size());
    List<Member> chosen = new ArrayList<>(wanted);
    for (int picked = 0; picked < wanted; picked++) {
      int position = picked + random.nextInt(live.size() - picked);
      swap(picked, position);
      chosen.add(claims.get(live.get(picked)));
    }
    return chosen;
  }

  private void swap(int first, int second) {
    Collections.swap(live, first, second);
    livePositions.put(live.get(first), first);
    livePositions.put(live.get(second), second);
  }

  /** Returns a dead member at random; empty when there is none. */
  Optional<Member> randomDead() {
    List<Member> dead =
        goneSince.keySet().stream()
            .map(claims::get)
            .filter(member -> member.status() == MemberStatus.DEAD)
            .toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /** Returns a counter that increases with each change of the view. */
  long changes() {
    return changes;
  }

  List<Integer> bucketHashes() {
    List<Integer> hashes = new ArrayList<>(BUCKETS);
    for (int hash : bucketHashes) {
      hashes.add(hash);
    }
    return hashes;
  }

  /**
   * Returns the claims of buckets whose hash differs, starting at a random bucket; empty when
   * {@code otherHashes} has a different number of buckets.
   */
  List<Member> differing(List<Integer> otherHashes, int max) {
    if (otherHashes.size() != BUCKETS) {
      return List.of();
    }
    boolean[] differs = new boolean[BUCKETS];
    boolean any = false;
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      differs[bucket] = otherHashes.get(bucket) != bucketHashes[bucket];
      any |= differs[bucket];
    }
    return any ? claimsOf(differs, max) : List.of();
  }

  private List<Member> claimsOf(boolean[] wanted, int max) {
    Map<Integer, List<Member>> byBucket = new HashMap<>();
    for (Member member : claims.values()) {
      int bucket = bucket(member.id());
      if (wanted[bucket]) {
        byBucket.computeIfAbsent(bucket, key -> new ArrayList<>()).add(member);
      }
    }
    List<Member> found = new ArrayList<>();
    int start = random.nextInt(BUCKETS);
    for (int step = 0; step < BUCKETS && found.size() < max; step++) {
      found.addAll(byBucket.getOrDefault((start + step) % BUCKETS, List.of()));
    }
    return found;
  }

  static int bucket(NodeId id) {
    return Math.floorMod(mix(id.value().hashCode()), BUCKETS);
  }

  private static int hash(Member member) {
    int hash = member.id().value().hashCode();
    hash = mix(hash * 31 + Long.hashCode(member.incarnation()));
    hash = mix(hash * 31 + member.status().ordinal());
    return member
            .endpoint()
            .map(endpoint -> endpoint.state().ordinal() * 31 + endpoint.start().value().hashCode())
            .map(endpointHash -> endpointHash ^ 0x5bd1e995)
            .orElse(0)
        ^ hash;
  }

  private static int mix(int value) {
    int mixed = value * 0x85ebca6b;
    return (mixed ^ (mixed >>> 15)) * 0xc2b2ae35;
  }
}
