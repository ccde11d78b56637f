package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Carries messages late, out of order, twice or not at all, as a seeded draw decides. */
final class MessageChannel {
  /**
   * How messages fare.
   *
   * @param nearMicros the delay one way within a region
   * @param farMicros the delay one way between regions
   * @param jitterMicros how much later a message may come
   * @param lossPermille how many messages are lost
   * @param doublePermille how many messages come twice
   */
  record Conditions(
      long nearMicros, long farMicros, long jitterMicros, int lossPermille, int doublePermille) {}

  private static final int PERMILLE = 1_000;

  private final EventQueue queue;
  private final RandomGenerator random;
  private final Conditions conditions;
  private final Map<NodeAddress, MeshNode> receivers = new HashMap<>();
  private final Set<MeshNode> apart = new HashSet<>();
  private final Set<MeshNode> platformless = new HashSet<>();

  MessageChannel(EventQueue queue, RandomGenerator random, Conditions conditions) {
    this.queue = queue;
    this.random = random;
    this.conditions = conditions;
  }

  void connect(MeshNode node) {
    receivers.put(node.address(), node);
  }

  /** Cuts these nodes, taken together, from all others. */
  void cut(Set<MeshNode> group) {
    apart.addAll(group);
  }

  /** Cuts these nodes, taken together, from all others and from the platform. */
  void cutWithPlatform(Set<MeshNode> group) {
    cut(group);
    platformless.addAll(group);
  }

  boolean reachesPlatform(MeshNode node) {
    return !platformless.contains(node);
  }

  void heal() {
    apart.clear();
    platformless.clear();
  }

  void send(MeshNode from, Outbound outbound) {
    MeshNode to = receivers.get(outbound.to());
    if (to == null || cutOff(from, to) || hits(conditions.lossPermille())) {
      return;
    }
    deliver(from, to, outbound.message());
    if (hits(conditions.doublePermille())) {
      deliver(from, to, outbound.message());
    }
  }

  private void deliver(MeshNode from, MeshNode to, PeerMessage message) {
    boolean near = from.region().equals(to.region());
    long delayMicros = near ? conditions.nearMicros() : conditions.farMicros();
    long jitterMicros = random.nextLong(conditions.jitterMicros() + 1);
    queue.after(
        delayMicros + jitterMicros,
        () -> {
          if (!cutOff(from, to)) {
            to.receive(message);
          }
        });
  }

  private boolean cutOff(MeshNode from, MeshNode to) {
    return apart.contains(from) != apart.contains(to);
  }

  private boolean hits(int permille) {
    return permille > 0 && random.nextInt(PERMILLE) < permille;
  }
}
