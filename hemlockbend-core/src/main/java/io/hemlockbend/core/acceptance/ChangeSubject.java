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
 * Something that a change alters or relies on. Changes of which none alters what another alters or
 * relies on can be accepted in either order; the whole is validated anyway.
 */
public sealed interface ChangeSubject {

  /**
   * A route.
   *
   * @param route its name
   */
  record RouteSubject(RouteName route) implements ChangeSubject {}

  /**
   * Whether a service exists.
   *
   * @param service its name
   */
  record ExistenceSubject(ServiceName service) implements ChangeSubject {}

  /**
   * Where a service's traffic goes: its active version and its move.
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
   * How much capacity the mesh has left. Every withdrawal relies on it, so that two operators who
   * each withdraw one failure domain do not withdraw both unawares.
   */
  record CapacitySubject() implements ChangeSubject {}

  /** Returns what a change alters. */
  static Set<ChangeSubject> altered(Change change) {
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

  /** Returns what a change only relies on. */
  static Set<ChangeSubject> reliedOn(Change change) {
    return change instanceof Change.PutRoute(Route route)
        ? Set.of(new ExistenceSubject(route.service()))
        : Set.of();
  }

  /** Returns whether one list of changes alters what the other alters or relies on. */
  static boolean overlap(List<Change> left, List<Change> right) {
    Set<ChangeSubject> leftAlters = union(left, ChangeSubject::altered);
    Set<ChangeSubject> rightAlters = union(right, ChangeSubject::altered);
    return !Collections.disjoint(leftAlters, rightAlters)
        || !Collections.disjoint(leftAlters, union(right, ChangeSubject::reliedOn))
        || !Collections.disjoint(rightAlters, union(left, ChangeSubject::reliedOn));
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
