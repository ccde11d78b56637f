package io.hemlockbend.core.brake;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.evidence.EvidenceWindow;
import io.hemlockbend.core.evidence.Verdict;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Move;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds versions that are bad by the node's own evidence. It needs neither the lease nor the
 * platform: a brake only withdraws traffic, so every node that collects evidence may set one at
 * once.
 */
public final class BrakeDetector {
  private BrakeDetector() {}

  /**
   * Returns a brake for each moving version with a bad verdict that is not braked yet.
   *
   * @param configuration the configuration in force
   * @param window the node's evidence
   * @param known the brakes known to the node
   * @param nowMillis the time in milliseconds since the epoch
   */
  public static List<Brake> detect(
      Configuration configuration, EvidenceWindow window, BrakeSet known, long nowMillis) {
    List<Brake> found = new ArrayList<>();
    for (Move move : configuration.moves().values()) {
      VersionKey to = new VersionKey(move.service(), move.to());
      if (known.blocks(to)) {
        continue;
      }
      if (window.verdict(move, nowMillis) instanceof Verdict.Bad bad) {
        found.add(new Brake(to, configuration.version(), bad.reason()));
      }
    }
    return found;
  }
}
