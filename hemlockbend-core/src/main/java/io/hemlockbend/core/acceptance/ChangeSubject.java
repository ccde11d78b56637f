package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A part of the configuration that a change writes or depends on. Two changes can be accepted in
 * either order when neither writes what the other writes or depends on. The resulting configuration
 * is validated in any case.
 */
public sealed interface ChangeSubject {

  /**
   * A route.
   *
   * @param route its name
   */
  record RouteSubject(RouteName route) implements ChangeSubject {}

  /**
   * The existence of a service.
   *
   * @param service its name
   */
  record ExistenceSubject(ServiceName service) implements ChangeSubject {}

  /**
   * The traffic assignment of a service: its active version and its move.
   *
   * @param service its name
   */
  record TrafficSubject(ServiceName service) implements ChangeSubject {}

  /**
   * An upstream version.
   *
   * @param key the version
   */
  record VersionSubject(VersionKey key) implements ChangeSubject {}

  /**
   * The state of a failure domain.
   *
   * @param domain the failure domain
   */
  record DomainSubject(FailureDomain domain) implements ChangeSubject {}

  /**
   * The remaining capacity of the mesh. Every withdrawal counts as a write to it, so that two
   * operators who each withdraw one failure domain conflict instead of withdrawing both.
   */
  record CapacitySubject() implements ChangeSubject {}

  /** Returns the subjects that a change writes. */
  static Set<ChangeSubject> writtenBy(Change change) {
    return switch (change) {
      case Change.PutRoute put -> Set.of(new RouteSubject(put.route().name()));
      case Change.RemoveRoute remove -> Set.of(new RouteSubject(remove.route()));
      case Change.AddVersion add ->
          Set.of(new VersionSubject(add.key()), new ExistenceSubject(add.key().service()));
      case Change.RemoveVersion remove ->
          Set.of(
              new VersionSubject(remove.key()),
              new ExistenceSubject(remove.key().service()),
              new TrafficSubject(remove.key().service()));
      case Change.StartMove start -> traffic(start.service(), start.to());
      case Change.AdvanceMove advance -> traffic(advance.service(), advance.to());
      case Change.TakeBack takeBack -> takeBack(takeBack);
      case Change.Withdraw withdraw ->
          Set.of(new DomainSubject(withdraw.domain()), new CapacitySubject());
      case Change.Restore restore -> Set.of(new DomainSubject(restore.domain()));
      case Change.FinishRestore finish -> Set.of(new DomainSubject(finish.domain()));
    };
  }

  /** Returns the subjects that a change depends on without writing them. */
  static Set<ChangeSubject> requiredBy(Change change) {
    return change instanceof Change.PutRoute(Route route)
        ? Set.of(new ExistenceSubject(route.service()))
        : Set.of();
  }

  /** Returns whether one list of changes writes what the other writes or depends on. */
  static boolean overlap(List<Change> left, List<Change> right) {
    Set<ChangeSubject> leftWrites = union(left, ChangeSubject::writtenBy);
    Set<ChangeSubject> rightWrites = union(right, ChangeSubject::writtenBy);
    return !Collections.disjoint(leftWrites, rightWrites)
        || !Collections.disjoint(leftWrites, union(right, ChangeSubject::requiredBy))
        || !Collections.disjoint(rightWrites, union(left, ChangeSubject::requiredBy));
  }

  private static Set<ChangeSubject> union(
      List<Change> changes, Function<Change, Set<ChangeSubject>> subjects) {
    return changes.stream().flatMap(c -> subjects.apply(c).stream()).collect(Collectors.toSet());
  }

  private static Set<ChangeSubject> takeBack(Change.TakeBack takeBack) {
    ServiceName service = takeBack.key().service();
    return Stream.of(takeBack.key().version(), takeBack.replacement())
        .filter(Objects::nonNull)
        .flatMap(version -> traffic(service, version).stream())
        .collect(Collectors.toSet());
  }

  private static Set<ChangeSubject> traffic(ServiceName service, VersionName version) {
    return Set.of(
        new TrafficSubject(service), new VersionSubject(new VersionKey(service, version)));
  }
}
