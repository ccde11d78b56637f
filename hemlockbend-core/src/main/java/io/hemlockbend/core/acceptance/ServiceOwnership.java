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
 * Checks whether an author may make a change. A team may change the services that it owns and their
 * routes, and may add services of its own. It may not put a route under the path of another team's
 * route, since that would divert the other route's requests. Only authors who own all may change
 * failure domains.
 */
public final class ServiceOwnership {
  private ServiceOwnership() {}

  /**
   * Returns the violations of ownership by a change.
   *
   * @param base the configuration that the change is based on
   * @param change the change
   * @param author the author of the change
   * @return a violation for each changed part that another team owns; empty when the change is
   *     allowed
   */
  public static List<Violation> check(Configuration base, Change change, Author author) {
    if (author.ownsAll()) {
      return List.of();
    }
    return ownedByOthers(base, change, author.team())
        .distinct()
        .map(part -> Violation.of(ViolationKey.NOT_OWNED, "change", part, author.team()))
        .toList();
  }

  private static Stream<String> ownedByOthers(Configuration base, Change change, TeamName team) {
    return switch (change) {
      case Change.PutRoute(Route route) ->
          Stream.of(
                  serviceOfOtherTeam(base, route.service(), team),
                  routeOfOtherTeam(base.routes().get(route.name()), base, team),
                  enclosingRoutes(route, base)
                      .flatMap(other -> routeOfOtherTeam(other, base, team)))
              .flatMap(Function.identity());
      case Change.RemoveRoute(var route) -> routeOfOtherTeam(base.routes().get(route), base, team);
      case Change.AddVersion(var key, TeamName owner) ->
          base.services().containsKey(key.service()) || owner.equals(team)
              ? serviceOfOtherTeam(base, key.service(), team)
              : Stream.of("service " + key.service() + " of team " + owner);
      case Change.RemoveVersion(var key) -> serviceOfOtherTeam(base, key.service(), team);
      case Change.StartMove start -> serviceOfOtherTeam(base, start.service(), team);
      case Change.AdvanceMove advance -> serviceOfOtherTeam(base, advance.service(), team);
      case Change.TakeBack(var key, var replacement) ->
          serviceOfOtherTeam(base, key.service(), team);
      case Change.Withdraw withdraw -> Stream.of("failure domain " + withdraw.domain());
      case Change.Restore restore -> Stream.of("failure domain " + restore.domain());
      case Change.FinishRestore finish -> Stream.of("failure domain " + finish.domain());
    };
  }

  /** Returns the routes whose path contains the route's path; the root is open to all teams. */
  private static Stream<Route> enclosingRoutes(Route route, Configuration base) {
    String path = withTrailingSlash(route.pathPrefix());
    return base.routes().values().stream()
        .filter(other -> !withTrailingSlash(other.pathPrefix()).equals("/"))
        .filter(other -> path.startsWith(withTrailingSlash(other.pathPrefix())));
  }

  private static String withTrailingSlash(String pathPrefix) {
    return pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/";
  }

  private static Stream<String> routeOfOtherTeam(Route route, Configuration base, TeamName team) {
    return Stream.ofNullable(route)
        .filter(r -> serviceOfOtherTeam(base, r.service(), team).findAny().isPresent())
        .map(r -> "route " + r.name());
  }

  private static Stream<String> serviceOfOtherTeam(
      Configuration base, ServiceName name, TeamName team) {
    return Stream.of(name)
        .map(base.services()::get)
        .filter(Objects::nonNull)
        .filter(service -> !service.owner().equals(team))
        .map(Service::name)
        .map(service -> "service " + service);
  }
}
