package io.hemlockbend.node.commit;

import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/** Is notified of configurations that were accepted through this node. */
@FunctionalInterface
public interface AcceptanceListener {
  /**
   * Called after a configuration was accepted, so that it is announced without delay.
   *
   * @param mark the version and digest of the configuration
   * @param configuration the accepted configuration
   * @param changes the changes since the previous version
   */
  void accepted(VersionMark mark, Configuration configuration, List<Change> changes);
}
