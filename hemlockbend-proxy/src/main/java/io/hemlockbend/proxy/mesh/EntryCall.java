package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.TrafficRoute;
import io.hemlockbend.proxy.http.Exchange;
import io.hemlockbend.proxy.http.HttpReply;
import io.hemlockbend.proxy.loop.Timer;
import io.hemlockbend.proxy.peer.RunEnd;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpStatus;

/** A caller's request at its entry, from its arrival to its answer. */
final class EntryCall {
  private static final int MAX_PLACEMENTS = 4;
  private static final long WAY_TO_CALLER_MILLIS = 20;
  private static final long FULL_RETRY_MILLIS = 60;
  private static final long NONE_RETRY_MILLIS = 150;

  private static final String NONE = "no upstream";
  private static final String ALL_FULL = "all upstreams full";

  private final Entry entry;
  private final Exchange exchange;
  private final TrafficRoute route;
  private final ServiceName service;
  private final long deadlineMillis;
  private final Set<NodeId> refusedBy = new HashSet<>();
  private final Set<NodeId> ranOn = new HashSet<>();
  private final StringBuilder tries = new StringBuilder();
  private final Timer deadline;
  private final boolean shortLived;
  private final long readMillis;
  private HttpReply failure;
  private Runnable takeBack;
  private String lastRefusal = NONE;
  private int placements;
  private int sends;
  private long serviceMillis = -1;
  private boolean missedTarget;
  private boolean over;

  EntryCall(
      Entry entry,
      Exchange exchange,
      TrafficRoute route,
      ServiceName service,
      long deadlineMillis,
      boolean shortLived) {
    this.entry = entry;
    this.shortLived = shortLived;
    this.exchange = exchange;
    this.route = route;
    this.service = service;
    this.deadlineMillis = deadlineMillis;
    this.readMillis = entry.loop().millis() - exchange.receivedMillis();
    this.deadline = entry.loop().after(deadlineMillis - entry.loop().millis(), this::expired);
    exchange.onAbandoned(this::abandoned);
  }

  Exchange exchange() {
    return exchange;
  }

  TrafficRoute route() {
    return route;
  }

  ServiceName service() {
    return service;
  }

  /** Returns how long its body took to come from the caller, after its head. */
  long readMillis() {
    return readMillis;
  }

  /** Returns how long the upstream that answered took, or null when none did. */
  Long serviceMillis() {
    return serviceMillis < 0 ? null : serviceMillis;
  }

  /** Returns the nodes that it was sent to, in their order. */
  String tries() {
    return tries.toString();
  }

  long remainingMillis() {
    return deadlineMillis - entry.loop().millis();
  }

  /**
   * Returns how long an answer still has its full value; 0 once the request is taken as late. An
   * answer to the call of a run has its value until the run gives up.
   */
  long targetLeftMillis() {
    if (missedTarget) {
      return shortLived ? Math.max(0, remainingMillis()) : 0;
    }
    long target = exchange.receivedMillis() + route.targetMillis() - WAY_TO_CALLER_MILLIS;
    return Math.max(0, target - entry.loop().millis());
  }

  /** Returns whether it is offered as late, behind all others. */
  boolean late() {
    return missedTarget && !shortLived;
  }

  boolean excluded(NodeId node) {
    return refusedBy.contains(node) || ranOn.contains(node);
  }

  /**
   * Places the request on an upstream. When none can answer it in time for its full value, it is
   * offered once more as late, or until its deadline if it is the call of a run; when none takes it
   * then, it is refused at once.
   */
  void place() {
    Placed placed = placements < MAX_PLACEMENTS ? entry.choose(this) : null;
    boolean usable = placed == null && entry.hasCandidate(this);
    if (placed == null && !missedTarget && remainingMillis() > 0 && (usable || placements > 0)) {
      missedTarget = true;
      placements = 0;
      refusedBy.clear();
      placed = entry.choose(this);
    }
    if (placed == null) {
      lastRefusal = usable && lastRefusal.equals(NONE) ? ALL_FULL : lastRefusal;
      refuse(lastRefusal, lastRefusal.equals(NONE) ? NONE_RETRY_MILLIS : FULL_RETRY_MILLIS);
      return;
    }
    placements++;
    sends++;
    int send = sends;
    NodeId node = placed.node();
    tries.append(tries.isEmpty() ? "" : ",").append(node).append(missedTarget ? "(late)" : "");
    Runnable back = entry.run(this, placed, end -> ended(node, end));
    boolean ended = over || send != sends;
    if (!ended) {
      takeBack = back;
    }
  }

  private void ended(NodeId node, RunEnd end) {
    if (over) {
      return;
    }
    takeBack = null;
    switch (end) {
      case RunEnd.Answered answered -> answered(node, answered);
      case RunEnd.NotRun notRun -> notRun(node, notRun);
      case RunEnd.Lost lost -> {
        ranOn.add(node);
        if (failure == null) {
          failure = Refusals.lost(lost.reason());
        }
        again(lost.reason());
      }
    }
  }

  /** Places the request elsewhere; a send that reached an upstream counts as a retry. */
  private void notRun(NodeId node, RunEnd.NotRun notRun) {
    refusedBy.add(node);
    lastRefusal = notRun.reason();
    if (notRun.arrived() && !entry.takeRetry(service)) {
      refuse(notRun.reason(), FULL_RETRY_MILLIS);
      return;
    }
    place();
  }

  private void answered(NodeId node, RunEnd.Answered answered) {
    int status = answered.reply().status();
    serviceMillis = answered.serviceMillis();
    boolean failed = HttpStatus.isServerError(status) && status != HttpStatus.GATEWAY_TIMEOUT_504;
    if (!failed || !route.idempotent()) {
      finish(answered.reply(), EntryOutcome.ANSWERED, "", node);
      return;
    }
    ranOn.add(node);
    failure = answered.reply();
    again("status " + status);
  }

  /** Runs the request on another upstream when that is allowed, else gives the failure. */
  private void again(String why) {
    boolean allowed =
        route.idempotent()
            && ranOn.size() < route.maxAttempts()
            && remainingMillis() > 0
            && entry.hasCandidate(this)
            && entry.takeRetry(service);
    if (!allowed) {
      finish(failure, EntryOutcome.FAILED, why, null);
      return;
    }
    entry.note("retry", exchange, "why", why, "route", route.name());
    place();
  }

  private void refuse(String reason, long afterMillis) {
    if (failure != null) {
      finish(failure, EntryOutcome.FAILED, reason, null);
      return;
    }
    HttpReply reply = Refusals.notRun(reason, afterMillis, entry.random());
    finish(reply, EntryOutcome.REFUSED, reason, null);
  }

  private void expired() {
    if (over) {
      return;
    }
    over = true;
    if (takeBack != null) {
      takeBack.run();
    }
    finish(failure != null ? failure : Refusals.late(), EntryOutcome.LATE, "", null);
  }

  private void abandoned() {
    if (over) {
      return;
    }
    over = true;
    deadline.cancel();
    if (takeBack != null) {
      takeBack.run();
    }
    entry.ended(this, 0, EntryOutcome.ABANDONED, "", null);
  }

  private void finish(HttpReply reply, EntryOutcome outcome, String why, NodeId node) {
    over = true;
    deadline.cancel();
    entry.ended(this, reply.status(), outcome, why, node);
    exchange.respond(reply);
  }
}
