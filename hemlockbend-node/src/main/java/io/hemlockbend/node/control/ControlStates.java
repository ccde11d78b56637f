package io.hemlockbend.node.control;

import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.distribution.Distributor;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.membership.MembershipSettings;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.node.admission.Quarantine;
import java.util.SplittableRandom;

/** Creates the control state of a new process. */
public final class ControlStates {

  private ControlStates() {}

  /**
   * Creates the state.
   *
   * @param self this node's own member entry
   * @param quarantine the requests suspected of crashing upstreams
   * @param digester verifies configurations
   * @param announcementMillis time after which an upstream's announcement expires
   * @param seed seed for the choice of peers and for jitter
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
