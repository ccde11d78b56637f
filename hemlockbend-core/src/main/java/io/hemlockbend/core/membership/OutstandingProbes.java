package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The pings that await an ack: this node's own and those relayed for other nodes. */
final class OutstandingProbes {
  private static final int MAX_RELAYS = 1_024;

  /** A ping sent on this node's own behalf. */
  record Probe(NodeId target, long sentMillis, boolean indirect) {}

  /** A ping relayed for another node, with the sequence number of that node's request. */
  record Relay(NodeId origin, long originSequence) {}

  /**
   * The pings that timed out. Indirect probes have their own sequence numbers, so that a relayed
   * ack is not taken for one received directly from the target.
   *
   * @param indirectProbes targets to probe through other peers, by sequence number
   * @param unanswered targets that answered neither a direct nor an indirect ping
   */
  record Overdue(Map<Long, NodeId> indirectProbes, List<NodeId> unanswered) {}

  private final LinkedHashMap<Long, Probe> probes = new LinkedHashMap<>();
  private final LinkedHashMap<Long, Relay> relays = new LinkedHashMap<>();
  private final Map<Long, Long> indirect = new HashMap<>();
  private long lastSequence;

  /** Returns the sequence number for a ping whose ack is not awaited. */
  long nextSequence() {
    return ++lastSequence;
  }

  long start(NodeId target, long nowMillis) {
    long sequence = nextSequence();
    probes.put(sequence, new Probe(target, nowMillis, false));
    return sequence;
  }

  long startRelay(NodeId origin, long originSequence) {
    long sequence = nextSequence();
    relays.put(sequence, new Relay(origin, originSequence));
    if (relays.size() > MAX_RELAYS) {
      relays.pollFirstEntry();
    }
    return sequence;
  }

  /** Completes the ping that an ack answers; returns whether it was this node's own ping. */
  boolean completeProbe(long sequence, NodeId from) {
    long direct = indirect.getOrDefault(sequence, sequence);
    Probe probe = probes.get(direct);
    return probe != null && probe.target().equals(from) && probes.remove(direct, probe);
  }

  /** Completes the relayed ping that an ack answers; empty when there is none. */
  Optional<Relay> completeRelay(long sequence) {
    return Optional.ofNullable(relays.remove(sequence));
  }

  /** Returns the pings to retry indirectly, and the targets that did not answer that either. */
  Overdue overdue(long nowMillis, long timeoutMillis) {
    Map<Long, NodeId> indirectProbes = new HashMap<>();
    List<NodeId> unanswered = new ArrayList<>();
    Iterator<Map.Entry<Long, Probe>> entries = probes.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Probe> entry = entries.next();
      Probe probe = entry.getValue();
      long ageMillis = nowMillis - probe.sentMillis();
      if (!probe.indirect() && ageMillis >= timeoutMillis) {
        long sequence = nextSequence();
        indirect.put(sequence, entry.getKey());
        indirectProbes.put(sequence, probe.target());
        entry.setValue(new Probe(probe.target(), probe.sentMillis(), true));
      } else if (probe.indirect() && ageMillis >= 2 * timeoutMillis) {
        unanswered.add(probe.target());
        entries.remove();
      }
    }
    indirect.values().removeIf(direct -> !probes.containsKey(direct));
    return new Overdue(indirectProbes, unanswered);
  }

  void clear() {
    probes.clear();
    indirect.clear();
    relays.clear();
  }
}
