package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The orders that a node knows from before the store was restored and that the restored store does
 * not show yet. The operator writes again what was lost; until then the older copy must not undo
 * it: a version whose predecessor is gone would get no traffic, and a withdrawn failure domain
 * would get some.
 */
final class CarriedOrders {
  /**
   * How long an order is carried that the store does not show again. It may have been taken back
   * unseen; that the operator's next write comes later is the greater harm.
   */
  static final long KEEP_MILLIS = 5_000;

  /** Enough to recognize what a copy some seconds old shows. */
  private static final int MAX_REPLACED = 16;

  private final List<MoveOrder> replaced = new ArrayList<>();
  private Set<FailureDomain> withdrawn = new HashSet<>();
  private Map<ServiceName, MoveOrder> moves = new HashMap<>();
  private long untilMillis;

  /** Returns the number of orders that are carried. */
  int size() {
    return withdrawn.size() + moves.size();
  }

  /** Carries what was in force when a new era is first seen. */
  void begin(OperatorOrders inForce, long nowMillis) {
    withdrawn = new HashSet<>(inForce.withdrawn());
    moves = new HashMap<>();
    inForce.moves().forEach(move -> moves.put(move.service(), move));
    untilMillis = nowMillis + KEEP_MILLIS;
  }

  /** Carries what another node carries, for the time that remains there. */
  void adopt(OperatorOrders others, long remainingMillis, long nowMillis) {
    withdrawn.addAll(others.withdrawn());
    others.moves().forEach(move -> moves.putIfAbsent(move.service(), move));
    untilMillis = nowMillis + Math.min(KEEP_MILLIS, remainingMillis);
  }

  /** Drops what the store shows again, and moves that newer orders replace. */
  void settle(OperatorOrders read) {
    withdrawn.removeAll(read.withdrawn());
    for (MoveOrder move : read.moves()) {
      MoveOrder known = moves.get(move.service());
      if (known != null && (known.sameContent(move) || !ofOlderCopy(move))) {
        moves.remove(move.service());
      }
    }
  }

  /** Records a move that another order has replaced; an older copy may show it again. */
  void replaced(MoveOrder move) {
    replaced.add(move);
    if (replaced.size() > MAX_REPLACED) {
      replaced.removeFirst();
    }
  }

  private boolean ofOlderCopy(MoveOrder move) {
    return replaced.stream()
        .anyMatch(
            known -> known.sameContent(move) && known.order().number() == move.order().number());
  }

  /** Drops all orders whose time has passed; returns whether there were any. */
  boolean expire(long nowMillis) {
    if (size() == 0 || nowMillis < untilMillis) {
      return false;
    }
    withdrawn.clear();
    moves.clear();
    return true;
  }

  /** Returns for how long orders are still carried. */
  long remainingMillis(long nowMillis) {
    return Math.max(0, untilMillis - nowMillis);
  }

  /** Returns what was read, with the orders that are carried in place of what it lacks. */
  OperatorOrders over(OperatorOrders read) {
    if (size() == 0) {
      return read;
    }
    Set<FailureDomain> allWithdrawn = new HashSet<>(read.withdrawn());
    allWithdrawn.addAll(withdrawn);
    List<MoveOrder> allMoves = new ArrayList<>(moves.values());
    read.moves().stream().filter(move -> !moves.containsKey(move.service())).forEach(allMoves::add);
    return new OperatorOrders(read.version(), allWithdrawn, allMoves, read.takenBack());
  }

  /** Returns the orders that are carried, as of the store's version that lacks them. */
  OperatorOrders lackedBy(OperatorOrders read) {
    return new OperatorOrders(read.version(), withdrawn, List.copyOf(moves.values()), Set.of());
  }
}
