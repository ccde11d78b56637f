package io.hemlockbend.core.membership;

import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The pings that wait for an answer, this node's own and those it sends for others. */
final class ProbeLedger {
  private static final int RELAYS_KEPT = 1_024;

  /** A ping of this node. */
  record Probe(NodeId target, long sentMillis, boolean indirect) {}

  /** A ping for another node, with the number that the other gave its question. */
  record Relay(NodeId origin, long originSequence) {}

  /**
   * What became of the pings whose time has passed. What others are asked has numbers of its own,
   * so that an answer that they pass on is not taken for one over the connection to the target.
   */
  record Overdue(Map<Long, NodeId> askOthers, List<NodeId> unanswered) {}

  private final LinkedHashMap<Long, Probe> probes = new LinkedHashMap<>();
  private final LinkedHashMap<Long, Relay> relays = new LinkedHashMap<>();
  private final Map<Long, Long> indirect = new HashMap<>();
  private long lastSequence;

  /** Numbers a ping that nobody waits for the answer of. */
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
    if (relays.size() > RELAYS_KEPT) {
      relays.pollFirstEntry();
    }
    return sequence;
  }

  /** Ends the ping that an answer belongs to; returns whether it was one of this node. */
  boolean answered(long sequence, NodeId from) {
    long direct = indirect.getOrDefault(sequence, sequence);
    Probe probe = probes.get(direct);
    return probe != null && probe.target().equals(from) && probes.remove(direct, probe);
  }

  /** Ends the ping for another node that an answer belongs to; returns whom to pass it on to. */
  Optional<Relay> relayed(long sequence) {
    return Optional.ofNullable(relays.remove(sequence));
  }

  /** Returns the pings that others are to try, and the targets that even they did not reach. */
  Overdue overdue(long nowMillis, long timeoutMillis) {
    Map<Long, NodeId> askOthers = new HashMap<>();
    List<NodeId> unanswered = new ArrayList<>();
    Iterator<Map.Entry<Long, Probe>> entries = probes.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Probe> entry = entries.next();
      Probe probe = entry.getValue();
      long ageMillis = nowMillis - probe.sentMillis();
      if (!probe.indirect() && ageMillis >= timeoutMillis) {
        long sequence = nextSequence();
        indirect.put(sequence, entry.getKey());
        askOthers.put(sequence, probe.target());
        entry.setValue(new Probe(probe.target(), probe.sentMillis(), true));
      } else if (probe.indirect() && ageMillis >= 2 * timeoutMillis) {
        unanswered.add(probe.target());
        entries.remove();
      }
    }
    indirect.values().removeIf(direct -> !probes.containsKey(direct));
    return new Overdue(askOthers, unanswered);
  }

  void clear() {
    probes.clear();
    indirect.clear();
    relays.clear();
  }
}
