package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.mesh.NodeDocuments.Source;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Every order of a few steps of the operator, a store that is restored, two nodes that read it and
 * one that the store turns away. Messages between nodes may arrive after any later step.
 */
class RestoreInterleavingsTest {
  private static final int STEPS = 7;
  private static final FailureDomain DOMAIN = new FailureDomain("sfax");
  private static final FailureDomain OTHER = new FailureDomain("prai");

  /** One step of a schedule. */
  private enum Step {
    /** The operator withdraws a failure domain, or the next one. */
    ORDER,
    /** The store comes back from the copy that it had at first. */
    RESTORE,
    /** The operator writes again what was lost. */
    REWRITE,
    FIRST_READS,
    SECOND_READS,
    /** The first node sends its documents; they arrive at a later step. */
    SEND,
    /** The oldest message arrives at the node that the store turns away. */
    ARRIVE
  }

  /** The nodes, the store and the operator after some steps. */
  private static final class World {
    private final NodeDocuments first = documents();
    private final NodeDocuments second = documents();
    private final NodeDocuments turnedAway = documents();
    private final Deque<NodeMessage.Orders> messages = new ArrayDeque<>();
    private final Set<FailureDomain> ordered = new HashSet<>();
    private Set<FailureDomain> stored = new HashSet<>();
    private boolean rewritten = true;
    private long era = 1;
    private long number = 10;
    private long nowMillis;

    World() {
      read(first);
      read(second);
      send();
      arrive();
    }

    void perform(Step step) {
      nowMillis += 10;
      switch (step) {
        case ORDER -> order();
        case RESTORE -> {
          era++;
          number = 10;
          stored = new HashSet<>();
          rewritten = ordered.isEmpty();
        }
        case REWRITE -> rewrite();
        case FIRST_READS -> read(first);
        case SECOND_READS -> read(second);
        case SEND -> send();
        case ARRIVE -> arrive();
        default -> throw new IllegalStateException("unknown step " + step);
      }
    }

    private void order() {
      ordered.add(ordered.contains(DOMAIN) ? OTHER : DOMAIN);
      rewrite();
      number++;
    }

    /** The operator writes again before it writes anything else. */
    private void rewrite() {
      if (!rewritten || !stored.equals(ordered)) {
        stored = new HashSet<>(ordered);
        number++;
        rewritten = true;
      }
    }

    private void read(NodeDocuments node) {
      node.apply(
          new OperatorOrders(new StoreVersion(era, number), stored, List.of(), Set.of()),
          Source.STORE,
          nowMillis);
    }

    private void send() {
      first
          .lackedBy(new NodeMessage.Fetch(-1, StoreVersion.NONE, 0), nowMillis)
          .forEach(message -> messages.add((NodeMessage.Orders) message));
    }

    private void arrive() {
      if (!messages.isEmpty()) {
        turnedAway.apply(messages.poll(), nowMillis);
      }
    }

    private void settle() {
      rewrite();
      read(first);
      read(second);
      while (!messages.isEmpty()) {
        arrive();
      }
      send();
      arrive();
    }

    private List<Set<FailureDomain>> inForce() {
      return List.of(
          first.orders().withdrawn(), second.orders().withdrawn(), turnedAway.orders().withdrawn());
    }
  }

  @Test
  void allNodesFollowTheOperatorAndNoneForgetsAnOrder() {
    int[] schedules = {0};
    explore(new ArrayList<>(), schedules);
    assertThat(schedules[0]).isEqualTo((int) Math.pow(Step.values().length, STEPS));
  }

  private void explore(List<Step> schedule, int[] schedules) {
    if (schedule.size() == STEPS) {
      schedules[0]++;
      check(schedule);
      return;
    }
    for (Step step : Step.values()) {
      schedule.add(step);
      explore(schedule, schedules);
      schedule.removeLast();
    }
  }

  /** Orders are only added, so that a node which forgets one has gone back to an older state. */
  private void check(List<Step> schedule) {
    World world = new World();
    List<Set<FailureDomain>> before = world.inForce();
    for (Step step : schedule) {
      world.perform(step);
      List<Set<FailureDomain>> after = world.inForce();
      for (int node = 0; node < after.size(); node++) {
        assertThat(after.get(node)).as("%s, node %d", schedule, node).containsAll(before.get(node));
      }
      before = after;
    }
    world.settle();
    assertThat(world.inForce()).as("%s", schedule).allMatch(world.ordered::equals);
  }

  private static NodeDocuments documents() {
    return new NodeDocuments(
        bytes -> {
          throw new IllegalArgumentException("no configurations here");
        },
        DecisionSink.NONE);
  }
}
