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
 * Applies a list of changes to a configuration. The result is a pure function of both, so every
 * node that applies the same changes holds the same configuration.
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
   * Applies the changes in order.
   *
   * @param base the configuration to change
   * @param changes the changes
   * @return the changed configuration, with the next version number
   * @throws ChangeException when a change does not fit the configuration, such as one that names a
   *     missing route
   */
  public static Configuration apply(Configuration base, List<Change> changes) {
    ChangeApplier applier = new ChangeApplier(base);
    changes.forEach(applier::applyChange);
    return new Configuration(
        base.version().next(),
        applier.services,
        applier.versions,
        applier.routes,
        applier.moves,
        applier.domains);
  }

  private void applyChange(Change change) {
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
      throw new ChangeException("route " + remove.route() + " does not exist");
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
      throw new ChangeException("version " + key + " does not exist");
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
      throw new ChangeException(
          "version " + start.service() + "/" + start.to() + " is already active");
    }
    if (moves.containsKey(start.service())) {
      throw new ChangeException("service " + start.service() + " already has a move in progress");
    }
    if (start.deadlineMillis() <= start.startMillis()) {
      throw new ChangeException(
          "deadline of the move of "
              + start.service()
              + " must be after its start at "
              + start.startMillis()
              + " ms, got "
              + start.deadlineMillis()
              + " ms");
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
      throw new ChangeException(
          "no move of " + advance.service() + " to " + advance.to() + " is in progress");
    }
    if (advance.sharePermille() < Move.FULL_SHARE_PERMILLE) {
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
      throw new ChangeException("version " + key + " does not exist");
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
          "version "
              + service.name()
              + "/"
              + service.active()
              + " is active; a replacement version is required");
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
      throw new ChangeException("service " + name + " does not exist");
    }
    return service;
  }

  private void requireUsable(VersionKey key) {
    if (versions.get(key) != VersionState.USABLE) {
      throw new ChangeException("version " + key + " does not exist or was taken back");
    }
  }
}
