package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.core.validation.ViolationKey;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Decides whether an author may make a change. A team may change the services that it owns and
 * their routes, and may add services of its own; it may not put a route under the path of another
 * team's route, which would take that route's requests. Failure domains belong to authors who own
 * all.
 */
public final class ServiceOwnership {
  private ServiceOwnership() {}

  /**
   * Names what the author may not change.
   *
   * @param base the configuration that the change is made against
   * @param change the change
   * @param author who makes it
   * @return a violation for each thing of another team; empty when the change is allowed
   */
  public static List<Violation> check(Configuration base, Change change, Author author) {
    if (author.ownsAll()) {
      return List.of();
    }
    return foreign(base, change, author.team())
        .distinct()
        .map(what -> Violation.of(ViolationKey.NOT_OWNED, "change", what, author.team()))
        .toList();
  }

  private static Stream<String> foreign(Configuration base, Change change, TeamName team) {
    return switch (change) {
      case Change.PutRoute(Route route) ->
          Stream.of(
                  foreignService(base, route.service(), team),
                  foreignRoute(base.routes().get(route.name()), base, team),
                  routesAbove(route, base).flatMap(above -> foreignRoute(above, base, team)))
              .flatMap(Function.identity());
      case Change.RemoveRoute(var route) -> foreignRoute(base.routes().get(route), base, team);
      case Change.AddVersion(var key, TeamName owner) ->
          base.services().containsKey(key.service()) || owner.equals(team)
              ? foreignService(base, key.service(), team)
              : Stream.of("service " + key.service() + " of team " + owner);
      case Change.RemoveVersion(var key) -> foreignService(base, key.service(), team);
      case Change.StartMove start -> foreignService(base, start.service(), team);
      case Change.AdvanceMove advance -> foreignService(base, advance.service(), team);
      case Change.TakeBack(var key, var replacement) -> foreignService(base, key.service(), team);
      case Change.Withdraw withdraw -> Stream.of("failure domain " + withdraw.domain());
      case Change.Restore restore -> Stream.of("failure domain " + restore.domain());
      case Change.FinishRestore finish -> Stream.of("failure domain " + finish.domain());
    };
  }

  /** Returns the routes whose requests the route would take; the root is open to all teams. */
  private static Stream<Route> routesAbove(Route route, Configuration base) {
    String path = segments(route.pathPrefix());
    return base.routes().values().stream()
        .filter(other -> !segments(other.pathPrefix()).equals("/"))
        .filter(other -> path.startsWith(segments(other.pathPrefix())));
  }

  private static String segments(String pathPrefix) {
    return pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/";
  }

  private static Stream<String> foreignRoute(Route route, Configuration base, TeamName team) {
    return Stream.ofNullable(route)
        .filter(r -> foreignService(base, r.service(), team).findAny().isPresent())
        .map(r -> "route " + r.name());
  }

  private static Stream<String> foreignService(
      Configuration base, ServiceName name, TeamName team) {
    return Stream.of(name)
        .map(base.services()::get)
        .filter(Objects::nonNull)
        .filter(service -> !service.owner().equals(team))
        .map(Service::name)
        .map(service -> "service " + service);
  }
}
