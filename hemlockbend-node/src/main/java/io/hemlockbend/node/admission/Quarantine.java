package io.hemlockbend.node.admission;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.core.quarantine.CrashTracker;
import io.hemlockbend.core.quarantine.QuarantineList;
import io.hemlockbend.core.quarantine.Standing;
import java.util.Collection;
import java.util.List;

/** Shares the list of suspected requests between traffic threads and the control thread. */
public final class Quarantine {
  private final QuarantineList list = new QuarantineList();
  private volatile boolean empty = true;

  /**
   * Returns how far a request is suspected; costs one read while nothing is suspected.
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
   * Takes in reports.
   *
   * @param reports new or known reports
   * @param nowMillis the time, milliseconds since the epoch
   * @return those that changed, to be spread further
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

  /** Notes that a suspect ran alone and its upstream lived. */
  void answeredAlone(RequestId request) {
    synchronized (list) {
      list.answeredAlone(request);
    }
  }

  /** Makes the reports of a crash and takes them in. */
  List<Suspicion> crashed(CrashTracker tracker, long nowMillis) {
    synchronized (list) {
      List<Suspicion> changed = list.merge(tracker.crashed(list, nowMillis), nowMillis);
      empty = list.reports().isEmpty();
      return changed;
    }
  }

  /**
   * Forgets reports that are too old.
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
