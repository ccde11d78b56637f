package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Simulated network that delays, reorders, duplicates and drops messages at random. */
final class MessageChannel {
  /**
   * Network conditions.
   *
   * @param sameRegionMicros one-way delay within a region
   * @param crossRegionMicros one-way delay between regions
   * @param jitterMicros maximum additional random delay
   * @param lossPermille rate of lost messages
   * @param duplicatePermille rate of duplicated messages
   */
  record Conditions(
      long sameRegionMicros,
      long crossRegionMicros,
      long jitterMicros,
      int lossPermille,
      int duplicatePermille) {}

  private static final int PERMILLE = 1_000;

  private final EventQueue queue;
  private final RandomGenerator random;
  private final Conditions conditions;
  private final Map<NodeAddress, MeshNode> receivers = new HashMap<>();
  private final Set<MeshNode> partitioned = new HashSet<>();
  private final Set<MeshNode> withoutPlatform = new HashSet<>();

  MessageChannel(EventQueue queue, RandomGenerator random, Conditions conditions) {
    this.queue = queue;
    this.random = random;
    this.conditions = conditions;
  }

  void connect(MeshNode node) {
    receivers.put(node.address(), node);
  }

  /** Partitions these nodes, in one group with any partitioned before, from all others. */
  void partition(Set<MeshNode> group) {
    partitioned.addAll(group);
  }

  /** Partitions these nodes, as one group, from all others and from the platform. */
  void isolate(Set<MeshNode> group) {
    partition(group);
    withoutPlatform.addAll(group);
  }

  boolean reachesPlatform(MeshNode node) {
    return !withoutPlatform.contains(node);
  }

  void heal() {
    partitioned.clear();
    withoutPlatform.clear();
  }

  void send(MeshNode from, Outbound outbound) {
    MeshNode to = receivers.get(outbound.to());
    if (to == null || separated(from, to) || draw(conditions.lossPermille())) {
      return;
    }
    deliver(from, to, outbound.message());
    if (draw(conditions.duplicatePermille())) {
      deliver(from, to, outbound.message());
    }
  }

  private void deliver(MeshNode from, MeshNode to, PeerMessage message) {
    boolean sameRegion = from.region().equals(to.region());
    long delayMicros = sameRegion ? conditions.sameRegionMicros() : conditions.crossRegionMicros();
    long jitterMicros = random.nextLong(conditions.jitterMicros() + 1);
    queue.after(
        delayMicros + jitterMicros,
        () -> {
          if (!separated(from, to)) {
            to.receive(message);
          }
        });
  }

  private boolean separated(MeshNode from, MeshNode to) {
    return partitioned.contains(from) != partitioned.contains(to);
  }

  private boolean draw(int permille) {
    return permille > 0 && random.nextInt(PERMILLE) < permille;
  }
}
