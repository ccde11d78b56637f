package io.hemlockbend.core.administration;

import io.hemlockbend.core.administration.AdminResponse.DomainLine;
import io.hemlockbend.core.administration.AdminResponse.NodeLine;
import io.hemlockbend.core.administration.AdminResponse.ServiceLine;
import io.hemlockbend.core.administration.AdminResponse.VersionLine;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.model.VersionState;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/** Reports the configuration in force and its distribution, as one node knows them. */
public final class ShowReport {
  private static final int MAX_LAGGING_LISTED = 10;

  private final VersionMark inForce;
  private final Configuration configuration;
  private final Optional<ConfigurationVersion> newestAccepted;
  private final List<Member> members;

  /**
   * Creates a report.
   *
   * @param inForce the version in force on the node
   * @param configuration the configuration of that version
   * @param newestAccepted the newest accepted version in the platform's table; empty when the
   *     platform cannot be reached
   * @param members the members that the node knows
   */
  public ShowReport(
      VersionMark inForce,
      Configuration configuration,
      Optional<ConfigurationVersion> newestAccepted,
      Collection<Member> members) {
    this.inForce = inForce;
    this.configuration = configuration;
    this.newestAccepted = newestAccepted;
    this.members = members.stream().sorted(Comparator.comparing(Member::id)).toList();
  }

  /** Returns the report on the configuration, the failure domains and the nodes. */
  public AdminResponse.Show show() {
    return new AdminResponse.Show(
        inForce.version(),
        inForce.digest(),
        newestAccepted,
        configuration.services().values().stream().map(this::service).toList(),
        List.copyOf(configuration.routes().values()),
        domains(),
        members.stream().map(this::node).toList());
  }

  /**
   * Returns the distribution progress of a version; suspected nodes are not counted.
   *
   * @param version the version
   */
  public AdminResponse.Progress progress(ConfigurationVersion version) {
    List<Member> live = members.stream().filter(m -> m.status() == MemberStatus.ALIVE).toList();
    List<NodeId> lagging =
        live.stream().filter(m -> version.newerThan(m.applied())).map(Member::id).toList();
    return new AdminResponse.Progress(
        version,
        !version.newerThan(inForce.version()),
        live.size(),
        live.size() - lagging.size(),
        lagging.subList(0, Math.min(MAX_LAGGING_LISTED, lagging.size())));
  }

  private ServiceLine service(Service service) {
    Optional<Move> move = Optional.ofNullable(configuration.moves().get(service.name()));
    List<VersionLine> versions =
        configuration.versions().keySet().stream()
            .filter(key -> key.service().equals(service.name()))
            .map(key -> version(key, service, move))
            .toList();
    return new ServiceLine(
        service.name(), service.owner(), versions, move.map(Move::deadlineMillis));
  }

  private VersionLine version(VersionKey key, Service service, Optional<Move> move) {
    int movedPermille = move.map(Move::sharePermille).orElse(0);
    int upstreams = (int) members.stream().filter(member -> serves(member, key)).count();
    if (configuration.versions().get(key) == VersionState.TAKEN_BACK) {
      return new VersionLine(key.version(), "taken back", 0, upstreams);
    }
    if (service.active().equals(key.version())) {
      return new VersionLine(
          key.version(), "active", Move.FULL_SHARE_PERMILLE - movedPermille, upstreams);
    }
    boolean movingIn = move.filter(m -> m.to().equals(key.version())).isPresent();
    return movingIn
        ? new VersionLine(key.version(), "moving in", movedPermille, upstreams)
        : new VersionLine(key.version(), "usable", 0, upstreams);
  }

  private static boolean serves(Member member, VersionKey key) {
    return aliveOrSuspect(member)
        && member
            .endpoint()
            .filter(e -> e.key().equals(key) && e.state() == EndpointState.READY)
            .isPresent();
  }

  private List<DomainLine> domains() {
    TreeSet<FailureDomain> known = new TreeSet<>(configuration.domains().keySet());
    members.forEach(member -> known.add(member.domain()));
    return known.stream().map(this::domain).toList();
  }

  private DomainLine domain(FailureDomain domain) {
    int nodes =
        (int) members.stream().filter(m -> aliveOrSuspect(m) && m.domain().equals(domain)).count();
    return switch (configuration.domains().get(domain)) {
      case null -> new DomainLine(domain, "in use", Optional.empty(), nodes);
      case DomainState.Withdrawn withdrawn ->
          new DomainLine(domain, "withdrawn", Optional.of(withdrawn.sinceMillis()), nodes);
      case DomainState.Restoring restoring ->
          new DomainLine(domain, "restoring", Optional.of(restoring.startMillis()), nodes);
    };
  }

  private NodeLine node(Member member) {
    ConfigurationVersion newest =
        newestAccepted.filter(v -> v.newerThan(inForce.version())).orElse(inForce.version());
    boolean lagging = aliveOrSuspect(member) && newest.newerThan(member.applied());
    return new NodeLine(member.id(), member.domain(), member.status(), member.applied(), lagging);
  }

  private static boolean aliveOrSuspect(Member member) {
    return member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT;
  }
}
