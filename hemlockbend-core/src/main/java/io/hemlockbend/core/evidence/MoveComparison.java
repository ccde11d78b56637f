package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.RouteName;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the target version of a short move with its predecessor: with calls of the same time,
 * and with the predecessor's past calls, since a fault under load shows when the predecessor gets
 * few calls or none.
 */
public final class MoveComparison {
  private final VersionComparison concurrent = new VersionComparison();
  private final Map<RouteName, BaselineDetector> routes = new TreeMap<>();
  private final BaselineDetector all = new BaselineDetector();
  private long freshCalls;
  private long freshErrors;

  /**
   * Adds a stratum.
   *
   * @param stratum calls of both versions, later than all strata added before
   * @param oldErrors how many calls the predecessor answered with an error
   * @param addedFreshErrors how many calls the target version answered with an error
   */
  public void add(Stratum stratum, long oldErrors, long addedFreshErrors) {
    concurrent.add(stratum);
    routes
        .computeIfAbsent(stratum.route(), route -> new BaselineDetector())
        .add(stratum, oldErrors, addedFreshErrors);
    all.add(stratum, oldErrors, addedFreshErrors);
    freshCalls += stratum.fresh().calls();
    freshErrors += addedFreshErrors;
  }

  /**
   * Returns the verdict on the strata added so far.
   *
   * @param permille the version's current share; an increase restarts the call counts that a good
   *     verdict needs
   * @param nowMillis the time in milliseconds
   */
  public Verdict verdict(int permille, long nowMillis) {
    Verdict verdict = concurrent.verdict(permille, nowMillis, nowMillis);
    if (verdict instanceof Verdict.Bad) {
      return verdict;
    }
    BaselineDetector worst = all;
    String where = "all routes";
    boolean suspicious = all.recentScore() >= VersionComparison.SUSPICIOUS_SCORE;
    for (Map.Entry<RouteName, BaselineDetector> entry : routes.entrySet()) {
      BaselineDetector route = entry.getValue();
      suspicious |= route.recentScore() >= VersionComparison.SUSPICIOUS_SCORE;
      if (route.score() > worst.score()) {
        worst = route;
        where = "route " + entry.getKey();
      }
    }
    String finding = where + ": worse than the predecessor's past calls, " + calls();
    if (worst.score() >= VersionComparison.BAD_SCORE) {
      return new Verdict.Bad(finding);
    }
    return suspicious ? new Verdict.NotEnough(true, finding) : verdict;
  }

  /** Returns the calls of the target version so far, for the log. */
  public String calls() {
    return freshErrors + " errors in " + freshCalls + " calls";
  }
}
