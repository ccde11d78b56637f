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
 * Finds requests that crash each upstream that runs them, by what was in flight at the crashes of
 * all nodes' upstreams, and keeps them from running again.
 */
public final class CrashWatch {
  /** How many of the latest requests that were answered are remembered. */
  private static final int MAX_PROVEN = 1_024;

  private final Clock clock;
  private final Consumer<List<Suspicion>> spread;
  private final QuarantineList list = new QuarantineList();
  private final LinkedHashSet<RequestId> proven = new LinkedHashSet<>();
  private CrashTracker tracker;

  /**
   * Makes a watch.
   *
   * @param clock the time
   * @param spread hears of reports that other nodes need to know
   */
  public CrashWatch(Clock clock, Consumer<List<Suspicion>> spread) {
    this.clock = clock;
    this.spread = spread;
  }

  /** Takes in reports of another node. */
  public void merge(Collection<Suspicion> news) {
    list.merge(news, clock.millis());
  }

  /** Begins anew for another process of the upstream beside the node. */
  void watch(UpstreamId upstream) {
    tracker = new CrashTracker(upstream);
  }

  /** Returns whether a request is to run no more. */
  boolean quarantined(RequestId fingerprint) {
    return list.standing(fingerprint, clock.millis()) == Standing.QUARANTINED;
  }

  void started(RequestId fingerprint) {
    tracker.started(fingerprint);
  }

  void answered(RequestId fingerprint) {
    tracker.answered(fingerprint);
    list.answeredAlone(fingerprint);
  }

  /**
   * Takes in that an upstream ran a request to its end. Callers that ask the same are many, and
   * some of their requests are in flight at each crash; one that did not crash the upstream before
   * is not the cause.
   */
  void proven(RequestId fingerprint) {
    proven.addLast(fingerprint);
    if (proven.size() > MAX_PROVEN) {
      proven.removeFirst();
    }
  }

  void broken(RequestId fingerprint) {
    tracker.connectionBroken(fingerprint, clock.millis());
  }

  /** Takes in that the upstream crashed. */
  void crashed() {
    List<Suspicion> suspects = new ArrayList<>(tracker.crashed(list, clock.millis()));
    suspects.removeIf(suspect -> proven.contains(suspect.request()));
    List<Suspicion> reports = list.merge(suspects, clock.millis());
    if (!reports.isEmpty()) {
      spread.accept(reports);
    }
  }
}
