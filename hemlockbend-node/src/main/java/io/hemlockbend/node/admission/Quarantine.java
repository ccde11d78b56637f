package io.hemlockbend.node.admission;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.quarantine.CrashTracker;
import io.hemlockbend.core.quarantine.QuarantineList;
import io.hemlockbend.core.quarantine.Standing;
import java.util.Collection;
import java.util.List;

/** Thread-safe list of suspected requests, shared by traffic threads and the control thread. */
public final class Quarantine {
  private final QuarantineList list = new QuarantineList();
  private volatile boolean empty = true;

  /**
   * Returns the standing of a request; while no request is suspected, this is one volatile read.
   *
   * @param request the request's id
   * @param nowMillis the time, milliseconds since the epoch
   */
  public Standing standing(RequestId request, long nowMillis) {
    if (empty) {
      return Standing.CLEAR;
    }
    synchronized (list) {
      return list.standing(request, nowMillis);
    }
  }

  /**
   * Merges reports.
   *
   * @param reports new or known reports
   * @param nowMillis the time, milliseconds since the epoch
   * @return the reports that changed, which must be gossiped
   */
  public List<Suspicion> merge(Collection<Suspicion> reports, long nowMillis) {
    if (reports.isEmpty()) {
      return List.of();
    }
    synchronized (list) {
      List<Suspicion> changed = list.merge(reports, nowMillis);
      empty = list.reports().isEmpty();
      return changed;
    }
  }

  /** Records that a suspect ran alone and its upstream did not crash. */
  void answeredAlone(RequestId request) {
    synchronized (list) {
      list.answeredAlone(request);
    }
  }

  /** Creates and merges the reports of a crash; returns those that changed. */
  List<Suspicion> crashed(CrashTracker tracker, long nowMillis) {
    synchronized (list) {
      List<Suspicion> changed = list.merge(tracker.crashed(list, nowMillis), nowMillis);
      empty = list.reports().isEmpty();
      return changed;
    }
  }

  /**
   * Removes expired reports.
   *
   * @param nowMillis the time, milliseconds since the epoch
   */
  public void expire(long nowMillis) {
    if (empty) {
      return;
    }
    synchronized (list) {
      list.expire(nowMillis);
      empty = list.reports().isEmpty();
    }
  }
}
