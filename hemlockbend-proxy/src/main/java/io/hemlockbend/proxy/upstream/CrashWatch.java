package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.quarantine.CrashTracker;
import io.hemlockbend.core.quarantine.QuarantineList;
import io.hemlockbend.core.quarantine.Standing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;

/**
 * Detects requests that crash the upstreams they run on, from the requests in flight at the crashes
 * of all nodes' upstreams, and quarantines them.
 */
public final class CrashWatch {
  /** Number of most recently completed requests that are remembered. */
  private static final int MAX_COMPLETED = 1_024;

  private final Clock clock;
  private final Consumer<List<Suspicion>> publisher;
  private final QuarantineList quarantineList = new QuarantineList();
  private final LinkedHashSet<RequestId> completed = new LinkedHashSet<>();
  private CrashTracker tracker;

  /**
   * Creates a watch that tracks no upstream yet.
   *
   * @param clock the source of the current time
   * @param publisher sends reports to the other nodes
   */
  public CrashWatch(Clock clock, Consumer<List<Suspicion>> publisher) {
    this.clock = clock;
    this.publisher = publisher;
  }

  /** Merges crash reports of another node. */
  public void merge(Collection<Suspicion> reports) {
    quarantineList.merge(reports, clock.millis());
  }

  /** Starts tracking a new process of the upstream beside the node. */
  void reset(UpstreamId upstream) {
    tracker = new CrashTracker(upstream);
  }

  /** Returns whether a request is quarantined and must not run. */
  boolean quarantined(RequestId fingerprint) {
    return quarantineList.standing(fingerprint, clock.millis()) == Standing.QUARANTINED;
  }

  void started(RequestId fingerprint) {
    tracker.started(fingerprint);
  }

  void answered(RequestId fingerprint) {
    tracker.answered(fingerprint);
    quarantineList.answeredAlone(fingerprint);
  }

  /**
   * Records that the upstream completed a request. Many callers send identical requests, so some of
   * them are in flight at each crash; a request that completed before is not the cause.
   */
  void completed(RequestId fingerprint) {
    completed.addLast(fingerprint);
    if (completed.size() > MAX_COMPLETED) {
      completed.removeFirst();
    }
  }

  void connectionBroken(RequestId fingerprint) {
    tracker.connectionBroken(fingerprint, clock.millis());
  }

  /** Records that the upstream answered a request. */
  void responded() {
    tracker.responded(clock.millis());
  }

  /** Records a crash of the upstream and publishes the requests that were in flight. */
  void crashed() {
    publish(tracker.crashed(quarantineList, clock.millis()));
  }

  /** Records that a new process replaces one that has not left, and so must have crashed. */
  void replaced() {
    publish(tracker.replaced(quarantineList, clock.millis()));
  }

  private void publish(List<Suspicion> inFlight) {
    List<Suspicion> suspects = new ArrayList<>(inFlight);
    suspects.removeIf(suspect -> completed.contains(suspect.request()));
    List<Suspicion> reports = quarantineList.merge(suspects, clock.millis());
    if (!reports.isEmpty()) {
      publisher.accept(reports);
    }
  }
}
