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

/** The response bodies of successful commands. */
public final class AdminResponse {
  private AdminResponse() {}

  /**
   * The staged changes of an operator.
   *
   * @param operator the operator's name
   * @param base the version that the changes were made against
   * @param inForce the version in force on the node
   * @param changes the changes in order
   * @param lines the parts that the changes would alter
   * @param faults the faults that prevent a commit now; empty when there are none
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
   * @param before its text before; empty when it is added
   * @param after its text after; empty when it is removed
   */
  public record DiffLine(String part, Optional<String> before, Optional<String> after) {}

  /**
   * An accepted commit.
   *
   * @param commit the commit id
   * @param version the version that the commit created
   * @param digest the version's digest
   * @param changes the changes as they were accepted
   */
  public record Accepted(
      CommitId commit, ConfigurationVersion version, Digest digest, List<Change> changes) {}

  /**
   * The configuration in force and the nodes that hold it, as one node knows them.
   *
   * @param inForce the version in force on the node
   * @param digest its digest
   * @param newestAccepted the newest accepted version in the platform's table; empty when the
   *     platform cannot be reached
   * @param services the services
   * @param routes the routes
   * @param domains the failure domains that have members, are withdrawn or are being restored
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
   * @param deadlineMillis the deadline of its move, milliseconds since the epoch; empty without a
   *     move
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
   * @param upstreams the number of ready upstreams of this version on live nodes
   */
  public record VersionLine(VersionName version, String state, int sharePermille, int upstreams) {}

  /**
   * A failure domain.
   *
   * @param domain its name
   * @param state {@code in use}, {@code withdrawn} or {@code restoring}
   * @param sinceMillis when the withdrawal or restore started, milliseconds since the epoch; empty
   *     when in use
   * @param nodes the number of live nodes in it
   */
  public record DomainLine(
      FailureDomain domain, String state, Optional<Long> sinceMillis, int nodes) {}

  /**
   * A node.
   *
   * @param node its id
   * @param domain its failure domain
   * @param status its membership status
   * @param applied the newest version that it is known to have in force
   * @param lagging whether it is live and has an older version in force than the newest known
   */
  public record NodeLine(
      NodeId node,
      FailureDomain domain,
      MemberStatus status,
      ConfigurationVersion applied,
      boolean lagging) {}

  /**
   * The distribution progress of a version.
   *
   * @param version the version
   * @param here whether this node has it or a newer one in force
   * @param live the number of live nodes
   * @param holding the number of live nodes known to have it or a newer one in force
   * @param lagging some of the other live nodes
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
   * The decisions by which a request was routed or refused.
   *
   * @param request the request
   * @param decisions the decisions that this node retains, oldest first
   */
  public record Explanation(RequestId request, List<DecisionRecord> decisions) {}
}
