package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.evidence.EvidenceScope;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.evidence.Stratum;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.withdrawal.DomainGate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides the next change of each move, restore and finished move. Every candidate for the lease
 * runs a controller and feeds it each configuration and the evidence, so that a new holder has the
 * state of its predecessor; only the holder commits the decisions.
 *
 * <p>Decisions depend only on the configuration in force, the evidence and the time, so after a
 * failed commit or a lost answer they are derived again from the table.
 *
 * <p>Order of the rules: a brake or a bad verdict takes the version back, regardless of the
 * deadline. Suspicion holds a step to more than {@link MoveSchedule#SMALL_PERMILLE}, even past the
 * deadline. Otherwise a step opens when it is due, the current one has settled and the verdict is
 * good. With too few calls to judge and no suspicion, the step opens half way to the due time of
 * the step after it: with so little traffic few calls are exposed to a bad version, and a good one
 * is not delayed.
 */
public final class MoveController {
  private final EvidenceWindow evidence;
  private final Map<ServiceName, ShareSince> shares = new HashMap<>();
  private final Map<ServiceName, Soak> soaks = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Creates a controller.
   *
   * @param evidence the evidence that the node collects
   */
  public MoveController(EvidenceWindow evidence) {
    this.evidence = evidence;
  }

  /**
   * Applies a new configuration.
   *
   * @param configuration the configuration; ignored unless newer than the last
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void onConfiguration(Configuration configuration, long nowMillis) {
    if (!configuration.version().newerThan(current.version())) {
      return;
    }
    current.moves().values().stream()
        .filter(move -> finished(move, configuration))
        .forEach(move -> startSoak(move, nowMillis));
    soaks.values().removeIf(soak -> !active(configuration, soak.to()));
    shares.keySet().retainAll(configuration.moves().keySet());
    for (Move move : configuration.moves().values()) {
      ShareSince known = shares.get(move.service());
      if (known == null || !known.isFor(move)) {
        shares.put(move.service(), new ShareSince(move, nowMillis));
      }
    }
    current = configuration;
  }

  /**
   * Returns the decisions at this time, at most one for each service and failure domain.
   *
   * @param brakes the brakes known to the node
   * @param upstreams the number of ready upstreams by version
   * @param nowMillis the time in milliseconds since the epoch
   */
  public List<RolloutDecision> decide(BrakeSet brakes, ReadyUpstreams upstreams, long nowMillis) {
    soaks.values().removeIf(soak -> nowMillis >= soak.untilMillis());
    List<RolloutDecision> decisions = new ArrayList<>();
    for (Move move : current.moves().values()) {
      decisions.add(decideMove(move, brakes, upstreams, nowMillis));
    }
    for (Service service : current.services().values()) {
      if (!current.moves().containsKey(service.name())) {
        decideActive(service, brakes, nowMillis).ifPresent(decisions::add);
      }
    }
    for (Map.Entry<FailureDomain, DomainState> entry : current.domains().entrySet()) {
      if (DomainGate.restored(entry.getValue(), nowMillis)) {
        decisions.add(
            new RolloutDecision.FinishRestore(
                new Change.FinishRestore(entry.getKey()), "the restore ramp has ended"));
      }
    }
    return decisions;
  }

  private RolloutDecision decideMove(
      Move move, BrakeSet brakes, ReadyUpstreams upstreams, long nowMillis) {
    VersionKey to = new VersionKey(move.service(), move.to());
    VersionKey from = new VersionKey(move.service(), move.from());
    Brake brake = brakes.byVersion().get(to);
    if (brake != null) {
      return takeBack(to, "brake: " + brake.reason());
    }
    long sinceMillis = shares.get(move.service()).sinceMillis;
    Verdict verdict = evidence.verdict(move, nowMillis);
    if (verdict instanceof Verdict.Bad bad) {
      return takeBack(to, bad.reason());
    }
    if (nowMillis < MoveSchedule.dueMillis(move)) {
      return wait(move, WaitCause.NOT_DUE, verdict.reason());
    }
    int next = MoveSchedule.nextShare(move);
    if (!hasCapacity(upstreams.ready(from), upstreams.ready(to), next)) {
      return wait(move, WaitCause.CAPACITY, upstreams.ready(to) + " ready upstreams");
    }
    if (move.sharePermille() == 0) {
      return advance(move, next, "first step");
    }
    if (nowMillis - sinceMillis < MoveSchedule.SETTLE_MILLIS) {
      return wait(move, WaitCause.SETTLING, verdict.reason());
    }
    return switch (verdict) {
      case Verdict.Good good -> advance(move, next, good.reason());
      case Verdict.Bad bad -> takeBack(to, bad.reason());
      case Verdict.NotEnough unclear
          when unclear.suspicious() && next > MoveSchedule.SMALL_PERMILLE ->
          wait(move, WaitCause.SUSPICION, unclear.reason());
      case Verdict.NotEnough unclear when nowMillis < MoveSchedule.dueWithoutEvidenceMillis(move) ->
          wait(move, WaitCause.EVIDENCE, unclear.reason());
      case Verdict.NotEnough unclear ->
          advance(
              move,
              next,
              (unclear.suspicious() ? "suspicious, but the share is small: " : "scarce traffic: ")
                  + unclear.reason());
    };
  }

  /**
   * Requires half of the upstreams that the share asks for, relative to those of the predecessor.
   */
  private static boolean hasCapacity(int readyFrom, int readyTo, int sharePermille) {
    return readyTo > 0
        && 2L * readyTo * Move.FULL_SHARE_PERMILLE >= (long) readyFrom * sharePermille;
  }

  private Optional<RolloutDecision> decideActive(Service service, BrakeSet brakes, long nowMillis) {
    VersionKey active = new VersionKey(service.name(), service.active());
    Brake brake = brakes.byVersion().get(active);
    Soak soak = soaks.get(service.name());
    if (soak == null || !current.usable(soak.from())) {
      return Optional.ofNullable(brake)
          .map(
              found ->
                  new RolloutDecision.Wait(service.name(), WaitCause.REPLACEMENT, found.reason()));
    }
    if (brake != null) {
      return Optional.of(returnToPredecessor(soak, "brake: " + brake.reason()));
    }
    return SoakCheck.judge(soak, soakStrata(soak, nowMillis))
        .map(reason -> returnToPredecessor(soak, reason));
  }

  private List<Stratum> soakStrata(Soak soak, long nowMillis) {
    return evidence.strata(soak.from(), soak.to(), nowMillis - SoakCheck.WINDOW_MILLIS, nowMillis);
  }

  private void startSoak(Move move, long nowMillis) {
    VersionKey from = new VersionKey(move.service(), move.from());
    VersionKey to = new VersionKey(move.service(), move.to());
    soaks.put(
        move.service(),
        new Soak(
            from,
            to,
            nowMillis + EvidenceScope.SOAK_MILLIS,
            evidence.strata(from, to, nowMillis - EvidenceWindow.RETENTION_MILLIS, nowMillis)));
  }

  private static boolean finished(Move move, Configuration next) {
    return !next.moves().containsKey(move.service())
        && active(next, new VersionKey(move.service(), move.to()));
  }

  private static boolean active(Configuration configuration, VersionKey key) {
    Service service = configuration.services().get(key.service());
    return service != null && service.active().equals(key.version());
  }

  private static RolloutDecision takeBack(VersionKey key, String reason) {
    return new RolloutDecision.TakeBack(new Change.TakeBack(key, null), reason);
  }

  private static RolloutDecision returnToPredecessor(Soak soak, String reason) {
    return new RolloutDecision.TakeBack(
        new Change.TakeBack(soak.to(), soak.from().version()), reason);
  }

  private static RolloutDecision advance(Move move, int sharePermille, String reason) {
    return new RolloutDecision.Advance(
        new Change.AdvanceMove(move.service(), move.to(), sharePermille), reason);
  }

  private static RolloutDecision wait(Move move, WaitCause cause, String reason) {
    return new RolloutDecision.Wait(move.service(), cause, reason);
  }

  private record ShareSince(Move move, long sinceMillis) {
    boolean isFor(Move other) {
      return move.equals(other);
    }
  }
}
