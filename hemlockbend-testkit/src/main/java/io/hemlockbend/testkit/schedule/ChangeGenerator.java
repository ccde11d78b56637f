package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import java.util.ArrayList;
import java.util.List;

/**
 * Generates changes that always apply: first the services with a version and a route each, then
 * updates of single routes.
 */
final class ChangeGenerator {
  private final int services;
  private int generated;

  ChangeGenerator(int services) {
    this.services = services;
  }

  /** Returns the changes that add all services. */
  List<Change> initial() {
    List<Change> changes = new ArrayList<>();
    for (int index = 0; index < services; index++) {
      VersionKey key = new VersionKey(service(index), new VersionName("v1"));
      changes.add(new Change.AddVersion(key, new TeamName("team-" + index % 7)));
      changes.add(putRoute(index));
    }
    return changes;
  }

  /** Returns the update of the next route. */
  List<Change> next() {
    generated++;
    return List.of(putRoute(generated % services));
  }

  private Change putRoute(int index) {
    Priority priority = generated % 2 == 0 ? Priority.NORMAL : Priority.URGENT;
    RouteName name = new RouteName("route-" + index);
    return new Change.PutRoute(
        new Route(name, "/service-" + index + "/" + generated, service(index), priority));
  }

  private static ServiceName service(int index) {
    return new ServiceName("service-" + index);
  }
}
