package io.hemlockbend.core.model;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Makes the next configuration from one configuration and a list of changes. The result is a pure
 * function of both, so that every node that applies the same changes holds the same configuration.
 */
public final class ChangeApplier {
  private final SortedMap<ServiceName, Service> services;
  private final SortedMap<VersionKey, VersionState> versions;
  private final SortedMap<RouteName, Route> routes;
  private final SortedMap<ServiceName, Move> moves;
  private final SortedMap<FailureDomain, DomainState> domains;

  private ChangeApplier(Configuration base) {
    services = new TreeMap<>(base.services());
    versions = new TreeMap<>(base.versions());
    routes = new TreeMap<>(base.routes());
    moves = new TreeMap<>(base.moves());
    domains = new TreeMap<>(base.domains());
  }

  /**
   * Applies the changes in their order.
   *
   * @param base the configuration that they change
   * @param changes the changes
   * @return the configuration with the next version
   * @throws ChangeException when a change names what is not there
   */
  public static Configuration apply(Configuration base, List<Change> changes) {
    ChangeApplier applier = new ChangeApplier(base);
    changes.forEach(applier::change);
    return new Configuration(
        base.version().next(),
        applier.services,
        applier.versions,
        applier.routes,
        applier.moves,
        applier.domains);
  }

  private void change(Change change) {
    switch (change) {
      case Change.PutRoute put -> routes.put(put.route().name(), put.route());
      case Change.RemoveRoute remove -> removeRoute(remove);
      case Change.AddVersion add -> addVersion(add);
      case Change.RemoveVersion remove -> removeVersion(remove);
      case Change.StartMove start -> startMove(start);
      case Change.AdvanceMove advance -> advanceMove(advance);
      case Change.TakeBack takeBack -> takeBack(takeBack);
      case Change.Withdraw withdraw ->
          domains.put(withdraw.domain(), new DomainState.Withdrawn(withdraw.sinceMillis()));
      case Change.Restore restore -> restore(restore);
      case Change.FinishRestore finish -> finishRestore(finish);
    }
  }

  private void removeRoute(Change.RemoveRoute remove) {
    if (routes.remove(remove.route()) == null) {
      throw new ChangeException("no route " + remove.route());
    }
  }

  private void addVersion(Change.AddVersion add) {
    ServiceName service = add.key().service();
    versions.put(add.key(), VersionState.USABLE);
    services.putIfAbsent(service, new Service(service, add.owner(), add.key().version()));
  }

  private void removeVersion(Change.RemoveVersion remove) {
    VersionKey key = remove.key();
    Service service = service(key.service());
    if (versions.remove(key) == null) {
      throw new ChangeException("no version " + key);
    }
    boolean last = versions.keySet().stream().noneMatch(k -> k.service().equals(key.service()));
    if (last) {
      services.remove(key.service());
      return;
    }
    if (service.active().equals(key.version())) {
      throw new ChangeException("version " + key + " is active; move its traffic first");
    }
  }

  private void startMove(Change.StartMove start) {
    Service service = service(start.service());
    requireUsable(new VersionKey(start.service(), start.to()));
    if (service.active().equals(start.to())) {
      throw new ChangeException(start.service() + "/" + start.to() + " is active already");
    }
    if (moves.containsKey(start.service())) {
      throw new ChangeException("service " + start.service() + " has a move under way");
    }
    if (start.deadlineMillis() <= start.startMillis()) {
      throw new ChangeException("the deadline of the move of " + start.service() + " has passed");
    }
    moves.put(
        start.service(),
        new Move(
            start.service(),
            service.active(),
            start.to(),
            start.startMillis(),
            start.deadlineMillis(),
            0));
  }

  private void advanceMove(Change.AdvanceMove advance) {
    Move move = moves.get(advance.service());
    if (move == null || !move.to().equals(advance.to())) {
      throw new ChangeException("no move of " + advance.service() + " to " + advance.to());
    }
    if (advance.sharePermille() < Move.ALL_PERMILLE) {
      moves.put(advance.service(), move.withShare(advance.sharePermille()));
      return;
    }
    moves.remove(advance.service());
    activate(advance.service(), advance.to());
  }

  private void takeBack(Change.TakeBack takeBack) {
    VersionKey key = takeBack.key();
    Service service = service(key.service());
    if (!versions.containsKey(key)) {
      throw new ChangeException("no version " + key);
    }
    versions.put(key, VersionState.TAKEN_BACK);
    Move move = moves.get(key.service());
    if (move != null && (move.to().equals(key.version()) || move.from().equals(key.version()))) {
      moves.remove(key.service());
    }
    if (service.active().equals(key.version())) {
      replaceActive(service, takeBack.replacement());
    }
  }

  private void replaceActive(Service service, VersionName replacement) {
    if (replacement == null) {
      throw new ChangeException(
          service.name() + "/" + service.active() + " is active; name the version to replace it");
    }
    requireUsable(new VersionKey(service.name(), replacement));
    activate(service.name(), replacement);
  }

  private void restore(Change.Restore restore) {
    if (!(domains.get(restore.domain()) instanceof DomainState.Withdrawn)) {
      throw new ChangeException("failure domain " + restore.domain() + " is not withdrawn");
    }
    domains.put(
        restore.domain(), new DomainState.Restoring(restore.startMillis(), restore.rampMillis()));
  }

  private void finishRestore(Change.FinishRestore finish) {
    if (!(domains.get(finish.domain()) instanceof DomainState.Restoring)) {
      throw new ChangeException("failure domain " + finish.domain() + " is not being restored");
    }
    domains.remove(finish.domain());
  }

  private void activate(ServiceName name, VersionName version) {
    services.put(name, new Service(name, service(name).owner(), version));
  }

  private Service service(ServiceName name) {
    Service service = services.get(name);
    if (service == null) {
      throw new ChangeException("no service " + name);
    }
    return service;
  }

  private void requireUsable(VersionKey key) {
    if (versions.get(key) != VersionState.USABLE) {
      throw new ChangeException("no usable version " + key);
    }
  }
}
