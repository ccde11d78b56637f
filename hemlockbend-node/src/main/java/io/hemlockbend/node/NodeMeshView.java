package io.hemlockbend.node;

import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.node.admin.MeshView;
import io.hemlockbend.node.control.ControlLoop;
import io.hemlockbend.node.log.RecentDecisions;
import java.util.Collection;
import java.util.List;

/** Gives the administration API the latest snapshot of the control loop. */
final class NodeMeshView implements MeshView {
  private final ControlLoop control;
  private final RecentDecisions recent;

  NodeMeshView(ControlLoop control, RecentDecisions recent) {
    this.control = control;
    this.recent = recent;
  }

  @Override
  public VersionMark inForce() {
    return control.snapshot().inForce();
  }

  @Override
  public Configuration configuration() {
    return control.snapshot().configuration();
  }

  @Override
  public Collection<Member> members() {
    return control.snapshot().members();
  }

  @Override
  public List<DecisionRecord> decisions(RequestId request) {
    return recent.of(request);
  }
}
