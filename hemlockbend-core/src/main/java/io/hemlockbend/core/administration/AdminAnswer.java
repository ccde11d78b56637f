package io.hemlockbend.core.administration;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.table.RowValue;
import java.util.List;
import java.util.Optional;

/** The bodies of answers to commands that succeeded. */
public final class AdminAnswer {
  private AdminAnswer() {}

  /**
   * What an operator has staged.
   *
   * @param operator the operator's name
   * @param base the version that the changes were made against
   * @param inForce the version in force on the node
   * @param changes the changes in their order
   * @param lines what the changes would alter
   * @param faults why they could not be committed now; empty when they could
   */
  public record Staged(
      String operator,
      ConfigurationVersion base,
      ConfigurationVersion inForce,
      List<Change> changes,
      List<DiffLine> lines,
      List<Fault> faults) {}

  /**
   * One part that differs between two configurations.
   *
   * @param part the part, such as {@code route quotes}
   * @param before what it was; empty when it is new
   * @param after what it becomes; empty when it goes
   */
  public record DiffLine(String part, Optional<String> before, Optional<String> after) {}

  /**
   * An acceptance.
   *
   * @param commit the commit id
   * @param version the version that it made
   * @param digest the version's digest
   * @param changes the changes as they were accepted
   */
  public record Accepted(
      CommitId commit, ConfigurationVersion version, Digest digest, List<Change> changes) {}

  /**
   * What is in force, and where, as one node knows it.
   *
   * @param inForce the version in force on the node
   * @param digest its digest
   * @param newestAccepted the version that the table names; empty when the platform is away
   * @param services the services
   * @param routes the routes
   * @param domains the failure domains with members or a state
   * @param nodes the nodes
   */
  public record Show(
      ConfigurationVersion inForce,
      Digest digest,
      Optional<ConfigurationVersion> newestAccepted,
      List<ServiceLine> services,
      List<Route> routes,
      List<DomainLine> domains,
      List<NodeLine> nodes) {}

  /**
   * A service.
   *
   * @param service its name
   * @param owner the team that owns it
   * @param versions its versions
   * @param deadlineMillis when its move is due, milliseconds since the epoch; empty without a move
   */
  public record ServiceLine(
      ServiceName service,
      TeamName owner,
      List<VersionLine> versions,
      Optional<Long> deadlineMillis) {}

  /**
   * An upstream version.
   *
   * @param version its name
   * @param state {@code active}, {@code moving in}, {@code usable} or {@code taken back}
   * @param sharePermille its share of the traffic, 0 to 1000
   * @param upstreams how many live upstreams have announced themselves for it
   */
  public record VersionLine(VersionName version, String state, int sharePermille, int upstreams) {}

  /**
   * A failure domain.
   *
   * @param domain its name
   * @param state {@code in use}, {@code withdrawn} or {@code restoring}
   * @param sinceMillis when that began, milliseconds since the epoch; empty when in full use
   * @param nodes how many live nodes are in it
   */
  public record DomainLine(
      FailureDomain domain, String state, Optional<Long> sinceMillis, int nodes) {}

  /**
   * A node.
   *
   * @param node its id
   * @param domain its failure domain
   * @param status what the mesh believes of it
   * @param applied the version that it is known to have in force
   * @param lagging whether it lives and holds an older version than the newest known
   */
  public record NodeLine(
      NodeId node,
      FailureDomain domain,
      MemberStatus status,
      ConfigurationVersion applied,
      boolean lagging) {}

  /**
   * How far a version has come.
   *
   * @param version the version
   * @param here whether this node has it or a newer one in force
   * @param live how many live nodes there are
   * @param holding how many of them are known to have it or a newer one in force
   * @param lagging some of the others
   */
  public record Progress(
      ConfigurationVersion version, boolean here, int live, int holding, List<NodeId> lagging) {

    /** Returns whether the version is in force on every live node. */
    public boolean everywhere() {
      return here && holding == live;
    }
  }

  /**
   * Accepted versions.
   *
   * @param versions the versions, oldest first
   */
  public record History(List<RowValue.History> versions) {}

  /**
   * Why a request was routed or refused.
   *
   * @param request the request
   * @param decisions the decisions that this node still remembers, oldest first
   */
  public record Explanation(RequestId request, List<DecisionRecord> decisions) {}
}
