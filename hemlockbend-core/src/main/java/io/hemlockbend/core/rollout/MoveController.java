package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.evidence.EvidenceInterest;
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
 * keeps one and hands it each configuration and the evidence, so that the next holder knows what
 * the last one knew; only the holder commits what it decides.
 *
 * <p>The decisions depend only on the configuration in force, the evidence and the time, so a
 * commit that failed or whose answer was lost is decided again from what the table holds.
 *
 * <p>Order of the rules: a brake or a bad verdict takes the version back, whatever the deadline
 * says. Suspicion holds a move, past its deadline too. Then a step opens when it is due, the
 * present one has settled and the version was found good. With too few calls to judge, and none
 * that speaks against it, the step opens half way to the time of the step after it: a service with
 * so few calls exposes few to a bad version, and a good one is not late for want of traffic.
 */
public final class MoveController {
  private final EvidenceWindow evidence;
  private final Map<ServiceName, ShareSince> shares = new HashMap<>();
  private final Map<ServiceName, Soak> soaks = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Makes a controller.
   *
   * @param evidence the evidence that the node gathers
   */
  public MoveController(EvidenceWindow evidence) {
    this.evidence = evidence;
  }

  /**
   * Takes note of the configuration in force.
   *
   * @param configuration the configuration; older ones than the last are dropped
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void onConfiguration(Configuration configuration, long nowMillis) {
    if (!configuration.version().newerThan(current.version())) {
      return;
    }
    current.moves().values().stream()
        .filter(move -> finished(move, configuration))
        .forEach(move -> watch(move, nowMillis));
    soaks.values().removeIf(soak -> !active(configuration, soak.to()));
    shares.keySet().retainAll(configuration.moves().keySet());
    for (Move move : configuration.moves().values()) {
      ShareSince known = shares.get(move.service());
      if (known == null || !known.of(move)) {
        shares.put(move.service(), new ShareSince(move, nowMillis));
      }
    }
    current = configuration;
  }

  /**
   * Returns what is to be done now, at most one decision for each service and failure domain.
   *
   * @param brakes the brakes that the node knows
   * @param upstreams the upstreams that are ready
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
                new Change.FinishRestore(entry.getKey()), "the ramp has passed"));
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
    if (!bears(upstreams.ready(from), upstreams.ready(to), next)) {
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
      case Verdict.NotEnough few when few.suspicious() && next > MoveSchedule.SMALL_PERMILLE ->
          wait(move, WaitCause.SUSPICION, few.reason());
      case Verdict.NotEnough few when nowMillis < MoveSchedule.scarceMillis(move) ->
          wait(move, WaitCause.EVIDENCE, few.reason());
      case Verdict.NotEnough few ->
          advance(
              move,
              next,
              (few.suspicious() ? "small share to settle: " : "scarce traffic: ") + few.reason());
    };
  }

  /** The version needs half of its part of the upstreams, counted against its predecessor's. */
  private static boolean bears(int readyFrom, int readyTo, int sharePermille) {
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
      return Optional.of(returnTo(soak, "brake: " + brake.reason()));
    }
    return SoakCheck.judge(soak, soakStrata(soak, nowMillis)).map(reason -> returnTo(soak, reason));
  }

  private List<Stratum> soakStrata(Soak soak, long nowMillis) {
    return evidence.strata(soak.from(), soak.to(), nowMillis - SoakCheck.LOOK_MILLIS, nowMillis);
  }

  private void watch(Move move, long nowMillis) {
    VersionKey from = new VersionKey(move.service(), move.from());
    VersionKey to = new VersionKey(move.service(), move.to());
    soaks.put(
        move.service(),
        new Soak(
            from,
            to,
            nowMillis + EvidenceInterest.SOAK_MILLIS,
            evidence.strata(from, to, nowMillis - EvidenceWindow.KEPT_MILLIS, nowMillis)));
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

  private static RolloutDecision returnTo(Soak soak, String reason) {
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
    boolean of(Move other) {
      return move.equals(other);
    }
  }
}
