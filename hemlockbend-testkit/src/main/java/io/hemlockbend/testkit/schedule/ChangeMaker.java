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

/** Makes changes that always fit: services with a version and a route each, then routes anew. */
final class ChangeMaker {
  private final int services;
  private int made;

  ChangeMaker(int services) {
    this.services = services;
  }

  /** Returns the changes that add all services at once. */
  List<Change> first() {
    List<Change> changes = new ArrayList<>();
    for (int index = 0; index < services; index++) {
      VersionKey key = new VersionKey(service(index), new VersionName("v1"));
      changes.add(new Change.AddVersion(key, new TeamName("team-" + index % 7)));
      changes.add(putRoute(index));
    }
    return changes;
  }

  /** Returns a small change. */
  List<Change> next() {
    made++;
    return List.of(putRoute(made % services));
  }

  private Change putRoute(int index) {
    Priority priority = made % 2 == 0 ? Priority.NORMAL : Priority.URGENT;
    RouteName name = new RouteName("route-" + index);
    return new Change.PutRoute(
        new Route(name, "/service-" + index + "/" + made, service(index), priority));
  }

  private static ServiceName service(int index) {
    return new ServiceName("service-" + index);
  }
}
