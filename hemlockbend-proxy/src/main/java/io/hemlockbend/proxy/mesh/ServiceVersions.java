package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.placement.VersionGroup;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.MoveShare;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which versions of each service may get requests, and what share of them. The target
 * version of a move gets none until the node that leads the move has set a share. A version that
 * was taken back gets none until a new order names it, even while traffic moves to a third version.
 */
public final class ServiceVersions {
  private static final int PERMILLE = 1000;

  private final Map<ServiceName, MoveOrder> orders = new HashMap<>();
  private final Map<ServiceName, MoveShare> shares = new HashMap<>();
  private final Map<ServiceName, VersionName> firstSeen = new HashMap<>();
  private final Map<ServiceName, Integer> credit = new HashMap<>();
  private final Set<VersionKey> takenBack = new HashSet<>();

  /**
   * Replaces the operator's orders; a move never returns to an earlier state, and goes on if its
   * order is written again after the store was restored.
   *
   * @param updated the orders
   * @param restoredLately whether orders may still be written again
   */
  public void updateOrders(OperatorOrders updated, boolean restoredLately) {
    Map<ServiceName, MoveOrder> before = new HashMap<>(orders);
    orders.clear();
    takenBack.addAll(updated.takenBack());
    for (MoveOrder move : updated.moves()) {
      MoveOrder known = before.get(move.service());
      if (move.continues(known, restoredLately)) {
        orders.put(move.service(), mostAdvanced(move, known));
        shares.computeIfPresent(move.service(), (service, share) -> share.withOrder(move.order()));
      } else {
        orders.put(move.service(), move);
      }
      updateTakenBack(orders.get(move.service()));
    }
    shares.values().removeIf(share -> !appliesTo(share, orders.get(share.service())));
  }

  /** Applies a decision on a share; returns whether it is newer than the current one. */
  public boolean applyShare(MoveShare decided) {
    MoveOrder order = orders.get(decided.service());
    MoveShare known = shares.get(decided.service());
    if (!appliesTo(decided, order) || known != null && !decided.newerThan(known)) {
      return false;
    }
    shares.put(decided.service(), decided);
    if (decided.state().compareTo(order.state()) > 0) {
      orders.put(decided.service(), order.withState(decided.state()));
      updateTakenBack(orders.get(decided.service()));
    }
    return true;
  }

  /** Returns the newest decision on the share of a service's target version, or null. */
  public MoveShare share(ServiceName service) {
    return shares.get(service);
  }

  /** Returns the newest decision on a share for each service under move. */
  public List<MoveShare> shares() {
    return new ArrayList<>(shares.values());
  }

  /** Returns the newest move of a service in its latest known state, or null. */
  public MoveOrder order(ServiceName service) {
    return orders.get(service);
  }

  /**
   * Records that an upstream of a version exists. Without an order, only the version seen first
   * gets requests, because a version may start before the order that moves traffic to it arrives.
   */
  public void versionSeen(ServiceName service, VersionName version) {
    firstSeen.putIfAbsent(service, version);
  }

  /** Returns the versions that moves found bad. */
  public Set<VersionKey> takenBack() {
    return takenBack;
  }

  /** Returns whether any move is running. */
  public boolean anyMoveRunning() {
    return orders.values().stream().anyMatch(order -> order.state() == MoveOrder.State.RUNNING);
  }

  /** Returns the group of a version, which decides what share of requests it may get. */
  public VersionGroup group(ServiceName service, VersionName version) {
    MoveOrder order = orders.get(service);
    boolean ordered = order != null && order.to().equals(version);
    if (!ordered && takenBack.contains(new VersionKey(service, version))) {
      return VersionGroup.BLOCKED;
    }
    if (order == null) {
      boolean first = firstSeen.getOrDefault(service, version).equals(version);
      return first ? VersionGroup.CURRENT : VersionGroup.BLOCKED;
    }
    return switch (order.state()) {
      case RUNNING -> ordered ? VersionGroup.FRESH : VersionGroup.CURRENT;
      case COMPLETED -> ordered ? VersionGroup.CURRENT : VersionGroup.BLOCKED;
      case ROLLED_BACK -> ordered ? VersionGroup.BLOCKED : VersionGroup.CURRENT;
    };
  }

  /**
   * Returns whether a service's next request goes to the target version of its move; each call
   * counts as a request.
   */
  public boolean nextIsFresh(ServiceName service) {
    MoveShare share = shares.get(service);
    MoveOrder order = orders.get(service);
    if (share == null || order == null || order.state() != MoveOrder.State.RUNNING) {
      return false;
    }
    int sum = credit.getOrDefault(service, 0) + share.permille();
    credit.put(service, sum >= PERMILLE ? sum - PERMILLE : sum);
    return sum >= PERMILLE;
  }

  /** Returns the share of the target version of a service's move, in thousandths. */
  public int permille(ServiceName service) {
    MoveShare share = shares.get(service);
    return share == null ? 0 : share.permille();
  }

  /** Returns whether an upstream of the target version is one that gets requests now. */
  public boolean mayGetShare(UpstreamRecord upstream) {
    MoveShare share = shares.get(upstream.service());
    return share == null
        || share.onlyUpstream().isEmpty()
        || share.onlyUpstream().get().equals(upstream.id());
  }

  /** Returns the services under move. */
  public Set<ServiceName> moving() {
    return orders.values().stream()
        .filter(order -> order.state() == MoveOrder.State.RUNNING)
        .map(MoveOrder::service)
        .collect(Collectors.toSet());
  }

  private void updateTakenBack(MoveOrder order) {
    VersionKey version = new VersionKey(order.service(), order.to());
    if (order.state() == MoveOrder.State.ROLLED_BACK) {
      takenBack.add(version);
    } else if (order.state() == MoveOrder.State.COMPLETED) {
      takenBack.remove(version);
    }
  }

  private static boolean appliesTo(MoveShare share, MoveOrder order) {
    return order != null && order.order().equals(share.order()) && order.to().equals(share.to());
  }

  /** Returns an order in its most advanced known state. */
  private static MoveOrder mostAdvanced(MoveOrder updated, MoveOrder known) {
    return known.state().compareTo(updated.state()) > 0
        ? updated.withState(known.state())
        : updated;
  }
}
