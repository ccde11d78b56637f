package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.placement.VersionGroup;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.MoveShare;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which versions of each service may get requests, and what share of them. A version under move
 * gets nothing until the node that leads the move has decided on a share. A version that was taken
 * back gets nothing until another order names it, also while traffic moves to a third version.
 */
public final class ServiceVersions {
  private static final int PERMILLE = 1000;

  private final Map<ServiceName, MoveOrder> orders = new HashMap<>();
  private final Map<ServiceName, MoveShare> shares = new HashMap<>();
  private final Map<ServiceName, VersionName> firstSeen = new HashMap<>();
  private final Map<ServiceName, Integer> credit = new HashMap<>();
  private final Set<VersionKey> takenBack = new HashSet<>();

  /** Takes in the operator's orders. */
  public void orders(OperatorOrders news) {
    Map<ServiceName, MoveOrder> before = new HashMap<>(orders);
    orders.clear();
    takenBack.addAll(news.takenBack());
    for (MoveOrder move : news.moves()) {
      orders.put(move.service(), furthest(move, before.get(move.service())));
      remember(orders.get(move.service()));
    }
    shares.values().removeIf(share -> !concerns(share, orders.get(share.service())));
  }

  /** Takes in a decision on a share; returns whether it is news. */
  public boolean share(MoveShare news) {
    MoveOrder order = orders.get(news.service());
    MoveShare known = shares.get(news.service());
    if (!concerns(news, order) || known != null && !news.newerThan(known)) {
      return false;
    }
    shares.put(news.service(), news);
    if (news.state().compareTo(order.state()) > 0) {
      orders.put(news.service(), order.in(news.state()));
      remember(orders.get(news.service()));
    }
    return true;
  }

  /** Returns the newest decision on the share of a service's version under move, or null. */
  public MoveShare share(ServiceName service) {
    return shares.get(service);
  }

  /** Returns the newest decisions on shares. */
  public List<MoveShare> shares() {
    return new ArrayList<>(shares.values());
  }

  /** Returns the move under way of a service, or null. */
  public MoveOrder order(ServiceName service) {
    return orders.get(service);
  }

  /**
   * Takes in that an upstream of a version is there. Without an order, only the version that was
   * seen first gets requests: a version may start before the order that allows it arrives.
   */
  public void seen(ServiceName service, VersionName version) {
    firstSeen.putIfAbsent(service, version);
  }

  /** Returns whether any traffic moves. */
  public boolean moving() {
    return orders.values().stream().anyMatch(order -> order.state() == MoveOrder.State.RUNNING);
  }

  /** Returns what a version of a service may get. */
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

  /** Returns whether it is the turn of the version under move to get a request of a service. */
  public boolean freshTurn(ServiceName service) {
    MoveShare share = shares.get(service);
    MoveOrder order = orders.get(service);
    if (share == null || order == null || order.state() != MoveOrder.State.RUNNING) {
      return false;
    }
    int sum = credit.getOrDefault(service, 0) + share.permille();
    credit.put(service, sum >= PERMILLE ? sum - PERMILLE : sum);
    return sum >= PERMILLE;
  }

  /** Returns the share of the version under move, in thousandths. */
  public int permille(ServiceName service) {
    MoveShare share = shares.get(service);
    return share == null ? 0 : share.permille();
  }

  private void remember(MoveOrder order) {
    VersionKey version = new VersionKey(order.service(), order.to());
    if (order.state() == MoveOrder.State.ROLLED_BACK) {
      takenBack.add(version);
    } else if (order.state() == MoveOrder.State.COMPLETED) {
      takenBack.remove(version);
    }
  }

  private static boolean concerns(MoveShare share, MoveOrder order) {
    return order != null && order.order() == share.order() && order.to().equals(share.to());
  }

  /** Returns the state of an order that is the furthest known; a move never goes back. */
  private static MoveOrder furthest(MoveOrder news, MoveOrder known) {
    boolean same = known != null && known.order() == news.order();
    return same && known.state().compareTo(news.state()) > 0 ? known : news;
  }
}
