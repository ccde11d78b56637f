package io.hemlockbend.node.rollout;

import io.hemlockbend.core.acceptance.Author;
import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitRequest;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.node.commit.CommitRunner;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** Commits changes as the rollout controller, based on the configuration in force at this node. */
public final class LeasedCommitter implements ChangeCommitter {
  private static final Author CONTROLLER =
      new Author("rollout-controller", new TeamName("platform"), true);
  private static final int MAX_NODE_ID_CHARACTERS = 40;

  private final NodeId self;
  private final CommitRunner runner;
  private final Clock clock;
  private long counter;

  /**
   * Creates a committer.
   *
   * @param self this node
   * @param runner runs the commits
   * @param clock the time source
   */
  public LeasedCommitter(NodeId self, CommitRunner runner, Clock clock) {
    this.self = self;
    this.runner = runner;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      MeshAccess mesh, List<Change> changes, List<Condition> conditions) {
    CommitRequest request =
        new CommitRequest(nextId(), CONTROLLER, clock.millis(), domains(mesh), conditions);
    ChangeSet set = ChangeSet.direct(mesh.configuration().version(), changes);
    return runner.run(request, Optional.of(set), false);
  }

  private CommitId nextId() {
    String name = self.value();
    String prefix = name.substring(0, Math.min(name.length(), MAX_NODE_ID_CHARACTERS));
    counter++;
    return new CommitId(
        prefix + ":" + Long.toString(clock.millis(), Character.MAX_RADIX) + ":" + counter);
  }

  private static Set<FailureDomain> domains(MeshAccess mesh) {
    return mesh.members().stream().map(Member::domain).collect(Collectors.toSet());
  }
}
