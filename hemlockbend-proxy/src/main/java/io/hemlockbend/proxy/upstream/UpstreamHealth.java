package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.traffic.ColdRateLimiter;
import io.hemlockbend.core.traffic.UpstreamRecord;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;

/**
 * Whether the upstream accepts work, from the outcomes of its requests and from health checks. An
 * upstream that is down gets work again once a health check passes that was sent after the reason
 * to doubt it.
 */
final class UpstreamHealth implements UpstreamDispatcher.Observer {
  private static final long PROBE_BACKOFF_MILLIS = 150;
  private static final long MAX_PROBE_BACKOFF_MILLIS = 1_000;
  private static final int LOSSES_UNTIL_DOWN = 3;

  /** The upstream whose health this is. */
  interface Owner {
    /** Returns the latest record of the upstream. */
    UpstreamRecord record();

    /** Refuses the queued requests: the upstream is down. */
    void wentDown();

    /** The process of the upstream seems to have ended. */
    void crashed();

    /** The state has changed. */
    void changed();
  }

  private final EventLoop loop;
  private final HealthProbe probe;
  private final String address;
  private final ColdRateLimiter coldRate;
  private final DecisionSink sink;
  private final Owner owner;
  private UpstreamState state = UpstreamState.UNKNOWN;
  private String path = "/health";
  private int consecutiveLosses;
  private int probeCount;

  /** Number of reasons so far to doubt the health; checks sent before the last one don't count. */
  private int doubts;

  /** Whether the upstream is down only because its announcement may be older than its record. */
  private boolean unverified;

  UpstreamHealth(
      EventLoop loop,
      HealthProbe probe,
      String address,
      ColdRateLimiter coldRate,
      DecisionSink sink,
      Owner owner) {
    this.loop = loop;
    this.probe = probe;
    this.address = address;
    this.coldRate = coldRate;
    this.sink = sink;
    this.owner = owner;
  }

  UpstreamState state() {
    return state;
  }

  /** Sets the path of health checks. */
  void path(String healthPath) {
    path = healthPath;
  }

  /** A process has announced itself; it accepts work. */
  void begin() {
    state = UpstreamState.UP;
    unverified = false;
    consecutiveLosses = 0;
  }

  /** The process leaves; it gets no work any more. */
  void leave() {
    state = UpstreamState.LEAVING;
  }

  /** Doubts the upstream until a health check passes or {@link #verify} is called. */
  void doubtUntilVerified(String reason) {
    markDown(reason);
    unverified = true;
  }

  /** Ends the doubt of {@link #doubtUntilVerified}; other reasons to doubt remain. */
  void verify() {
    if (state == UpstreamState.DOWN && unverified) {
      markUp();
    }
  }

  /** Doubts the upstream until a health check passes that is sent from now on. */
  void doubt(String reason) {
    unverified = false;
    doubts++;
    markDown(reason);
  }

  @Override
  public void answered() {
    consecutiveLosses = 0;
  }

  @Override
  public void misdirected() {
    markDown("misdirected");
  }

  @Override
  public void unreachable(String reason) {
    crashed(reason);
  }

  @Override
  public void connectionLost(String reason) {
    consecutiveLosses++;
    if (consecutiveLosses >= LOSSES_UNTIL_DOWN) {
      crashed(reason);
    }
  }

  private void crashed(String reason) {
    if (state == UpstreamState.UP) {
      owner.crashed();
      markDown(reason);
    }
  }

  private void markDown(String reason) {
    if (state != UpstreamState.UP) {
      return;
    }
    state = UpstreamState.DOWN;
    probeCount = 0;
    owner.wentDown();
    sink.emit("upstream-down", null, "upstream", owner.record().id(), "why", reason);
    owner.changed();
    check();
  }

  private void check() {
    if (state == UpstreamState.DOWN) {
      probeCount++;
      int doubtsBefore = doubts;
      probe.probe(
          path,
          address,
          health -> {
            if (doubts == doubtsBefore) {
              checked(health);
            }
          });
      loop.after(
          Math.min(MAX_PROBE_BACKOFF_MILLIS, PROBE_BACKOFF_MILLIS * probeCount), this::check);
    }
  }

  private void checked(HealthProbe.Health health) {
    String id = owner.record().id().value();
    boolean same = health.upstreamId() == null || health.upstreamId().equals(id);
    if (state == UpstreamState.DOWN && health.healthy() && same) {
      coldRate.coldFor(Math.max(0, health.coldMillis()), loop.millis());
      markUp();
    }
  }

  private void markUp() {
    state = UpstreamState.UP;
    unverified = false;
    consecutiveLosses = 0;
    long coldMillis = coldRate.coldMillis(loop.millis());
    sink.emit("upstream-up", null, "upstream", owner.record().id(), "coldMillis", coldMillis);
    owner.changed();
  }
}
