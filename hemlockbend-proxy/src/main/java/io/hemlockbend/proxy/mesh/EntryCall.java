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

/** A caller's request at its entry, from arrival to response, including retries. */
final class EntryCall {
  private static final int MAX_PLACEMENTS = 4;
  private static final long RESPONSE_TRANSIT_MILLIS = 20;
  private static final long FULL_RETRY_AFTER_MILLIS = 60;
  private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 150;

  private static final String NO_UPSTREAM = "no upstream";
  private static final String ALL_FULL = "all upstreams full";

  private final Entry entry;
  private final Exchange exchange;
  private final TrafficRoute route;
  private final ServiceName service;
  private final long deadlineMillis;
  private final Set<NodeId> refusedBy = new HashSet<>();
  private final Set<NodeId> reached = new HashSet<>();
  private final StringBuilder tries = new StringBuilder();
  private final Timer deadline;
  private final boolean nestedCall;
  private final boolean nestedRoute;
  private final long readMillis;
  private HttpReply failure;
  private Runnable cancelRun;
  private String lastRefusal = NO_UPSTREAM;
  private int placements;
  private int sends;
  private long serviceMillis = -1;
  private boolean missedTarget;
  private boolean completed;

  EntryCall(
      Entry entry,
      Exchange exchange,
      TrafficRoute route,
      ServiceName service,
      long deadlineMillis,
      boolean nestedCall,
      boolean nestedRoute) {
    this.entry = entry;
    this.nestedCall = nestedCall;
    this.nestedRoute = nestedRoute;
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

  /** Returns the time from the request's header to the end of its body, in milliseconds. */
  long readMillis() {
    return readMillis;
  }

  /** Returns the service time of the upstream that answered, or null if none did. */
  Long serviceMillis() {
    return serviceMillis < 0 ? null : serviceMillis;
  }

  /** Returns the nodes that the request was sent to, in order, separated by commas. */
  String tries() {
    return tries.toString();
  }

  long remainingMillis() {
    return deadlineMillis - entry.loop().millis();
  }

  /**
   * Returns the time left until the latency target; 0 once the request counts as late. A nested
   * call uses its deadline as target once it has missed the route's, because the request that made
   * it is wasted without the answer.
   */
  long targetLeftMillis() {
    if (missedTarget) {
      return nestedCall ? Math.max(0, remainingMillis()) : 0;
    }
    long target = exchange.receivedMillis() + route.targetMillis() - RESPONSE_TRANSIT_MILLIS;
    return Math.max(0, target - entry.loop().millis());
  }

  /** Returns whether the request has missed its target and queues behind all others. */
  boolean late() {
    return missedTarget && !nestedCall;
  }

  /** Returns whether the route is one of nested calls. */
  boolean nestedRoute() {
    return nestedRoute;
  }

  /** Returns whether an upstream has got the request, even if it refused it. */
  boolean reachedUpstream() {
    return !reached.isEmpty();
  }

  /**
   * Returns whether a node must not get the request. An upstream that has got it does not get it
   * again, also not after its own refusal: a refusal that it repeats by mistake would then be taken
   * for that of the second sending.
   */
  boolean excluded(NodeId node) {
    return refusedBy.contains(node) || reached.contains(node);
  }

  /**
   * Places the request on an upstream. If none can answer within the latency target, tries once
   * more as a late request, or with the deadline as target for a nested call. If no upstream
   * accepts it then, refuses it at once.
   */
  void place() {
    Placement placed = placements < MAX_PLACEMENTS ? entry.choose(this) : null;
    boolean hasCandidate = placed == null && entry.hasCandidate(this);
    if (placed == null
        && !missedTarget
        && remainingMillis() > 0
        && (hasCandidate || placements > 0)) {
      missedTarget = true;
      placements = 0;
      refusedBy.clear();
      placed = entry.choose(this);
    }
    if (placed == null) {
      lastRefusal = hasCandidate && lastRefusal.equals(NO_UPSTREAM) ? ALL_FULL : lastRefusal;
      refuse(
          lastRefusal,
          lastRefusal.equals(NO_UPSTREAM)
              ? NO_UPSTREAM_RETRY_AFTER_MILLIS
              : FULL_RETRY_AFTER_MILLIS);
      return;
    }
    placements++;
    sends++;
    int send = sends;
    NodeId node = placed.node();
    tries.append(tries.isEmpty() ? "" : ",").append(node).append(missedTarget ? "(late)" : "");
    Runnable cancel = entry.run(this, placed, end -> ended(node, end));
    boolean ended = completed || send != sends;
    if (!ended) {
      cancelRun = cancel;
    }
  }

  private void ended(NodeId node, RunEnd end) {
    if (completed) {
      return;
    }
    cancelRun = null;
    switch (end) {
      case RunEnd.Answered answered -> answered(node, answered);
      case RunEnd.NotRun notRun -> notRun(node, notRun);
      case RunEnd.Lost lost -> {
        reached.add(node);
        if (failure == null) {
          failure = ErrorReplies.lost(lost.reason());
        }
        retryOrFail(lost.reason());
      }
    }
  }

  /** Places the request elsewhere; this uses the retry budget if an upstream itself refused it. */
  private void notRun(NodeId node, RunEnd.NotRun notRun) {
    lastRefusal = notRun.reason();
    if (!notRun.reachedUpstream()) {
      refusedBy.add(node);
      place();
      return;
    }
    reached.add(node);
    if (mayReachAnother()) {
      place();
    } else {
      refuse(notRun.reason(), FULL_RETRY_AFTER_MILLIS);
    }
  }

  private void answered(NodeId node, RunEnd.Answered answered) {
    int status = answered.reply().status();
    serviceMillis = answered.serviceMillis();
    boolean failed = HttpStatus.isServerError(status) && status != HttpStatus.GATEWAY_TIMEOUT_504;
    if (!failed || !route.idempotent()) {
      finish(answered.reply(), EntryOutcome.ANSWERED, "", node);
      return;
    }
    reached.add(node);
    failure = answered.reply();
    retryOrFail("status " + status);
  }

  /** Retries the request on another upstream if allowed, otherwise responds with the failure. */
  private void retryOrFail(String why) {
    if (!route.idempotent() || !mayReachAnother()) {
      finish(failure, EntryOutcome.FAILED, why, null);
      return;
    }
    entry.log("retry", exchange, "why", why, "route", route.name());
    place();
  }

  /** Returns whether another upstream may get the request; takes that from the retry budget. */
  private boolean mayReachAnother() {
    return reached.size() < route.maxAttempts()
        && remainingMillis() > 0
        && entry.hasCandidate(this)
        && entry.tryAcquireRetry(this);
  }

  private void refuse(String reason, long afterMillis) {
    if (failure != null) {
      finish(failure, EntryOutcome.FAILED, reason, null);
      return;
    }
    HttpReply reply = ErrorReplies.notRun(reason, afterMillis, entry.random());
    finish(reply, EntryOutcome.REFUSED, reason, null);
  }

  private void expired() {
    if (completed) {
      return;
    }
    completed = true;
    if (cancelRun != null) {
      cancelRun.run();
    }
    finish(failure != null ? failure : ErrorReplies.timedOut(), EntryOutcome.LATE, "", null);
  }

  private void abandoned() {
    if (completed) {
      return;
    }
    completed = true;
    deadline.cancel();
    if (cancelRun != null) {
      cancelRun.run();
    }
    entry.ended(this, 0, EntryOutcome.ABANDONED, "", null);
  }

  private void finish(HttpReply reply, EntryOutcome outcome, String why, NodeId node) {
    completed = true;
    deadline.cancel();
    entry.ended(this, reply.status(), outcome, why, node);
    exchange.respond(reply);
  }
}
