package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.mesh.NodeDocuments.Source;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Orders of a store that is restored from an older copy: an era, and the numbers in it. */
class NodeDocumentsTest {
  private static final FailureDomain SFAX = new FailureDomain("sfax");
  private static final FailureDomain PRAI = new FailureDomain("prai");
  private static final long KEPT = CarriedOrders.KEEP_MILLIS - 1;

  private final NodeDocuments node = documents();

  @Test
  void lateOrdersOfTheLostHistoryAreIgnoredThoughTheirNumberIsGreater() {
    apply(node, orders(1, 40, Set.of(), move("v1", 1, 30)), 0);
    apply(node, orders(2, 12, Set.of(SFAX), move("v1", 2, 11)), 10);
    assertThat(apply(node, orders(1, 90, Set.of(PRAI)), 20)).isFalse();
    assertThat(node.orders().withdrawn()).containsExactly(SFAX);
  }

  @Test
  void ordersThatTheRestoredStoreLacksStayInForceUntilTheyAreWrittenAgain() {
    apply(node, orders(1, 40, Set.of(SFAX), move("v2", 1, 30)), 0);
    apply(node, orders(2, 12, Set.of()), 10);
    assertThat(node.orders().withdrawn()).containsExactly(SFAX);
    assertThat(node.orders().moves()).containsExactly(move("v2", 1, 30));
    apply(node, orders(2, 14, Set.of(SFAX), move("v2", 2, 13)), 20);
    assertThat(node.carriedOrders()).isZero();
    assertThat(node.orders().moves()).containsExactly(move("v2", 2, 13));
    apply(node, orders(2, 15, Set.of(), move("v2", 2, 13)), 30);
    assertThat(node.orders().withdrawn()).isEmpty();
  }

  /** The operator has taken them back while this node could not read the store. */
  @Test
  void ordersThatAreNotWrittenAgainEnd() {
    apply(node, orders(1, 40, Set.of(SFAX)), 0);
    apply(node, orders(2, 12, Set.of()), 10);
    assertThat(node.expireCarried(KEPT)).isFalse();
    assertThat(node.expireCarried(10 + CarriedOrders.KEEP_MILLIS)).isTrue();
    assertThat(node.orders().withdrawn()).isEmpty();
  }

  @Test
  void olderCopyOfAnOrderDoesNotReplaceTheOneThatFollowedIt() {
    apply(node, orders(1, 20, Set.of(), move("v2", 1, 18)), 0);
    apply(node, orders(1, 40, Set.of(), move("v3", 1, 30)), 5);
    apply(node, orders(2, 22, Set.of(), move("v2", 2, 18)), 10);
    assertThat(node.orders().moves()).containsExactly(move("v3", 1, 30));
    apply(node, orders(2, 25, Set.of(), move("v3", 2, 24)), 20);
    assertThat(node.orders().moves()).containsExactly(move("v3", 2, 24));
  }

  @Test
  void newOrderThatWasWrittenAfterTheRestoreReplacesTheOneKnown() {
    apply(node, orders(1, 40, Set.of(), move("v3", 1, 30)), 0);
    apply(node, orders(2, 25, Set.of(), move("v4", 2, 24)), 10);
    assertThat(node.orders().moves()).containsExactly(move("v4", 2, 24));
  }

  @Test
  void nodeThatStartsAfterTheRestoreAdoptsWhatItsPeersCarry() {
    apply(node, orders(1, 40, Set.of(SFAX)), 0);
    apply(node, orders(2, 12, Set.of()), 10);
    NodeDocuments started = documents();
    apply(started, orders(2, 12, Set.of()), 500);
    List<NodeMessage> sent =
        node.lackedBy(
            new NodeMessage.Fetch(-1, started.orders().version(), started.carriedOrders()), 510);
    assertThat(started.apply((NodeMessage.Orders) sent.getFirst(), 600)).isTrue();
    assertThat(started.orders().withdrawn()).containsExactly(SFAX);
    assertThat(started.expireCarried(KEPT)).isFalse();
    assertThat(started.expireCarried(600 + CarriedOrders.KEEP_MILLIS)).isTrue();
    assertThat(started.apply((NodeMessage.Orders) sent.getFirst(), 8_000)).isFalse();
    assertThat(started.orders().withdrawn()).isEmpty();
  }

  private static NodeDocuments documents() {
    return new NodeDocuments(
        bytes -> {
          throw new IllegalArgumentException("no configurations here");
        },
        DecisionSink.NONE);
  }

  private static boolean apply(NodeDocuments to, OperatorOrders orders, long nowMillis) {
    return to.apply(orders, Source.STORE, nowMillis);
  }

  private static OperatorOrders orders(
      long era, long number, Set<FailureDomain> withdrawn, MoveOrder... moves) {
    return new OperatorOrders(
        new StoreVersion(era, number), withdrawn, Arrays.asList(moves), Set.of());
  }

  private static MoveOrder move(String to, long era, long number) {
    return new MoveOrder(
        new ServiceName("quotes"),
        new VersionName(to),
        new StoreVersion(era, number),
        12_000,
        MoveOrder.State.RUNNING);
  }
}
