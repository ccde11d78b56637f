package io.hemlockbend.node.commit;

import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/** Hears of configurations that were accepted through this node. */
@FunctionalInterface
public interface AcceptListener {
  /**
   * Tells of an acceptance, so that it is announced at once.
   *
   * @param mark number and digest
   * @param configuration the configuration
   * @param changes what it changed
   */
  void accepted(VersionMark mark, Configuration configuration, List<Change> changes);
}
