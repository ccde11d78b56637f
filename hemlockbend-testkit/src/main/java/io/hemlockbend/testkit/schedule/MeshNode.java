package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Endpoint;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.Distributor;
import io.hemlockbend.core.membership.Membership;
import io.hemlockbend.core.membership.MembershipSettings;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** A simulated node: runs the real membership and distributor and performs their effects. */
final class MeshNode {
  private static final long TICK_MILLIS = 100;
  private static final int SLOTS = 10;
  private static final long UNREACHABLE_MILLIS = 50;

  private final NodeSite site;
  private final MeshEnvironment environment;
  private final RandomGenerator random;
  private final List<Runnable> deferred = new ArrayList<>();
  private Membership membership;
  private Distributor distributor;
  private long start;
  private long seenMemberChanges;
  private boolean up;
  private boolean frozen;
  private boolean servingNoted;

  /**
   * Identity and location of a node.
   *
   * @param id its id
   * @param region its region
   * @param domain its failure domain
   * @param address its control address
   */
  record NodeSite(NodeId id, Region region, FailureDomain domain, NodeAddress address) {}

  MeshNode(NodeSite site, MeshEnvironment environment, RandomGenerator random) {
    this.site = site;
    this.environment = environment;
    this.random = random;
  }

  NodeId id() {
    return site.id();
  }

  Region region() {
    return site.region();
  }

  FailureDomain domain() {
    return site.domain();
  }

  NodeAddress address() {
    return site.address();
  }

  boolean up() {
    return up;
  }

  boolean serves() {
    return up && !frozen && distributor.ready();
  }

  VersionMark mark() {
    return distributor.mark();
  }

  Membership membership() {
    return membership;
  }

  /** Starts a new process that has no state but the seed addresses; does nothing if one runs. */
  void start(List<NodeAddress> seeds) {
    if (up) {
      return;
    }
    start++;
    up = true;
    frozen = false;
    servingNoted = false;
    seenMemberChanges = -1;
    deferred.clear();
    Member self =
        new Member(
            site.id(),
            site.region(),
            site.domain(),
            site.address(),
            site.address(),
            0,
            MemberStatus.ALIVE,
            ConfigurationVersion.NONE,
            Optional.empty());
    membership = new Membership(self, MembershipSettings.DEFAULT, random);
    distributor =
        new Distributor(
            site.id(), site.domain(), environment.settings(), environment.digester(), random);
    membership.endpoint(Optional.of(endpoint()));
    environment.step(Step.JOIN, this);
    run(() -> send(membership.join(seeds, now())));
    schedule(random.nextLong(TICK_MILLIS), this::tick);
  }

  private Endpoint endpoint() {
    VersionKey key = new VersionKey(new ServiceName("service-0"), new VersionName("v1"));
    return new Endpoint(
        new UpstreamId("upstream-of-" + site.id()),
        new StartId("start-" + start),
        key,
        EndpointState.READY,
        SLOTS);
  }

  void kill() {
    up = false;
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    if (frozen) {
      frozen = false;
      List<Runnable> pending = List.copyOf(deferred);
      deferred.clear();
      pending.forEach(Runnable::run);
    }
  }

  void leave() {
    run(
        () -> {
          environment.step(Step.LEAVE, this);
          if (up) {
            send(membership.leave(now()));
          }
          up = false;
        });
  }

  void receive(PeerMessage message) {
    run(
        () -> {
          send(environment.meter().timed(() -> membership.receive(message, now())));
          perform(environment.meter().timed(() -> distributor.receive(message, now())));
        });
  }

  /** Commits changes to the configuration in force on this node. */
  void commit(List<Change> changes, Configuration result) {
    VersionMark mark = new VersionMark(result.version(), environment.digester().digest(result));
    environment.step(Step.COMMIT, this);
    Runnable accepted = () -> perform(distributor.accepted(mark, result, changes, now()));
    if (environment.channel().reachesPlatform(this)) {
      environment.table().commit(mark, result, changes, boundToProcess(accepted));
    }
  }

  Configuration configuration() {
    return distributor.configuration();
  }

  private long now() {
    return environment.queue().millis();
  }

  private void schedule(long delayMillis, Runnable action) {
    environment.queue().afterMillis(delayMillis, boundToProcess(action));
  }

  /** Binds an action to this process: a restart drops it, and a freeze defers it. */
  private Runnable boundToProcess(Runnable action) {
    long boundStart = start;
    return () -> {
      if (boundStart == start) {
        run(action);
      }
    };
  }

  private void run(Runnable action) {
    if (frozen) {
      long boundStart = start;
      deferred.add(
          () -> {
            if (boundStart == start) {
              run(action);
            }
          });
    } else if (up) {
      action.run();
    }
  }

  private void tick() {
    send(environment.meter().timed(() -> membership.tick(now())));
    if (membership.changes() != seenMemberChanges) {
      seenMemberChanges = membership.changes();
      environment.meter().timed(this::passMembers);
    }
    distributor.recorded(membership.recordedApplied());
    perform(environment.meter().timed(() -> distributor.tick(now())));
    noteServing();
    schedule(TICK_MILLIS, this::tick);
  }

  private List<DistributionEffect> passMembers() {
    distributor.members(membership.members(), now());
    return List.of();
  }

  private void noteServing() {
    if (distributor.ready() && !servingNoted) {
      servingNoted = true;
      if (distributor.mark().equals(VersionMark.NONE)) {
        environment.log().noteApplied(id(), VersionMark.NONE, Configuration.EMPTY, now());
      }
    }
  }

  private void send(List<Outbound> messages) {
    for (Outbound outbound : messages) {
      switch (outbound.message()) {
        case PeerMessage.Announcement announcement -> environment.step(Step.ANNOUNCE, this);
        case PeerMessage.Pull pull -> environment.step(Step.PULL, this);
        default -> {
          // Not a step for fault injection.
        }
      }
      if (up) {
        environment.meter().sent(outbound);
        environment.channel().send(this, outbound);
      }
    }
  }

  private void perform(List<DistributionEffect> effects) {
    for (DistributionEffect effect : environment.effectFilter().apply(this, effects)) {
      if (!up) {
        return;
      }
      switch (effect) {
        case DistributionEffect.Send send -> send(List.of(send.outbound()));
        case DistributionEffect.ReadCurrent read -> readCurrent();
        case DistributionEffect.ReadHistory range -> readHistory(range);
        case DistributionEffect.FetchBody fetch -> fetch(fetch);
        case DistributionEffect.Apply apply -> apply(apply);
        case DistributionEffect.Refused refused -> environment.meter().refused();
      }
    }
  }

  private void apply(DistributionEffect.Apply apply) {
    environment.log().noteApplied(id(), apply.mark(), apply.configuration(), now());
    membership.applied(apply.mark());
    environment.step(Step.APPLY, this);
  }

  private void readCurrent() {
    callPlatform(
        table ->
            table.readCurrent(
                answer(row -> distributor.currentRead(row, now())),
                failure(() -> distributor.currentUnavailable(now()))),
        () -> distributor.currentUnavailable(now()));
  }

  private void readHistory(DistributionEffect.ReadHistory range) {
    callPlatform(
        table ->
            table.readHistory(
                range.after(),
                range.last(),
                answer(found -> distributor.historyRead(found, now())),
                failure(() -> distributor.historyUnavailable(now()))),
        () -> distributor.historyUnavailable(now()));
  }

  private void fetch(DistributionEffect.FetchBody fetch) {
    callPlatform(
        table ->
            table.fetch(
                fetch.digest(),
                answer(found -> fetched(fetch, found)),
                failure(() -> distributor.bodyUnavailable(fetch.digest(), now()))),
        () -> distributor.bodyUnavailable(fetch.digest(), now()));
  }

  private List<DistributionEffect> fetched(
      DistributionEffect.FetchBody fetch, Optional<Configuration> found) {
    return found.isPresent()
        ? distributor.bodyFetched(fetch.digest(), found.get(), now())
        : distributor.bodyUnavailable(fetch.digest(), now());
  }

  private void callPlatform(
      Consumer<MeshTable> call, Supplier<List<DistributionEffect>> unreachable) {
    if (environment.channel().reachesPlatform(this)) {
      call.accept(environment.table());
    } else {
      environment.queue().afterMillis(UNREACHABLE_MILLIS, failure(unreachable));
    }
  }

  private <T> Consumer<T> answer(Function<T, List<DistributionEffect>> handler) {
    long boundStart = start;
    return value -> {
      if (boundStart == start) {
        run(() -> perform(environment.meter().timed(() -> handler.apply(value))));
      }
    };
  }

  private Runnable failure(Supplier<List<DistributionEffect>> handler) {
    return boundToProcess(() -> perform(environment.meter().timed(handler)));
  }
}
