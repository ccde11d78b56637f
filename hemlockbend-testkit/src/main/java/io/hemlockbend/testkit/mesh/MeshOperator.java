package io.hemlockbend.testkit.mesh;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.acceptance.Author;
import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitOutcome;
import io.hemlockbend.core.acceptance.CommitPlanner;
import io.hemlockbend.core.acceptance.CommitRequest;
import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.node.commit.CommitRunner;
import io.hemlockbend.platform.HttpObjectStore;
import io.hemlockbend.platform.HttpTableService;
import io.hemlockbend.platform.PlatformSettings;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;

/**
 * Commits changes to an embedded mesh as an operator's node does, but notifies no node: the nodes
 * find the changes when they read the table.
 */
public final class MeshOperator implements AutoCloseable {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final TeamName TEAM = new TeamName("test");

  private final EmbeddedMesh mesh;
  private final HttpClient client = new HttpClient();
  private final CommitRunner runner;
  private int commits;

  /**
   * Creates an operator.
   *
   * @param mesh the mesh to commit to
   */
  public MeshOperator(EmbeddedMesh mesh) {
    this.mesh = mesh;
    LifeCycle.start(client);
    PlatformSettings settings = new PlatformSettings(mesh.platform().uri(), TIMEOUT_MILLIS);
    this.runner =
        new CommitRunner(
            new CommitPlanner(
                ConfigurationChecker.forAcceptance(), new JsonDigester(new JsonCodec())),
            new HttpTableService(client, settings),
            new HttpObjectStore(client, settings),
            (mark, configuration, changes) -> {},
            () -> mesh.members().getFirst().node().snapshot().accepted());
  }

  /**
   * Commits changes on the newest configuration that any node has in force.
   *
   * @param changes the changes
   * @return the accepted version
   * @throws IllegalStateException when the commit is not accepted
   */
  public VersionMark commit(Change... changes) {
    commits++;
    CommitRequest request =
        new CommitRequest(
            new CommitId("test-" + commits),
            new Author("tester", TEAM, true),
            System.currentTimeMillis(),
            domains(),
            List.of());
    ChangeSet changeSet = ChangeSet.direct(mesh.newestInForce(), List.of(changes));
    CommitOutcome outcome = runner.run(request, Optional.of(changeSet), false).join();
    if (outcome instanceof CommitOutcome.Accepted accepted) {
      return accepted.mark();
    }
    throw new IllegalStateException("commit not accepted: " + outcome);
  }

  private Set<FailureDomain> domains() {
    return mesh.members().stream()
        .map(member -> new FailureDomain(member.spec().domain()))
        .collect(Collectors.toSet());
  }

  @Override
  public void close() {
    LifeCycle.stop(client);
  }
}
