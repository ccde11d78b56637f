package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.distribution.Distributor;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.membership.MembershipSettings;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.node.admission.Quarantine;
import java.util.SplittableRandom;

/** Makes the control state of a new process. */
public final class ControlStates {

  private ControlStates() {}

  /**
   * Makes the state.
   *
   * @param self what the node says of itself
   * @param quarantine the requests suspected of crashing upstreams
   * @param digester verifies configurations
   * @param announcementMillis life of an upstream's announcement
   * @param seed seeds the draws of peers and jitter
   */
  public static ControlState create(
      Member self,
      Quarantine quarantine,
      ConfigurationDigester digester,
      long announcementMillis,
      long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return new ControlState(
        new Membership(self, MembershipSettings.DEFAULT, random.split()),
        new Distributor(
            self.id(), self.domain(), DistributionSettings.DEFAULT, digester, random.split()),
        quarantine,
        new LocalUpstream(announcementMillis));
  }
}
