package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import java.util.ArrayList;
import java.util.List;

/** Checks that a configuration contains everything that it references. */
public final class ReferenceCheck {
  private final Configuration configuration;
  private final List<String> faults = new ArrayList<>();

  private ReferenceCheck(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Returns a description of each dangling reference; empty when there is none. */
  public static List<String> faults(Configuration configuration) {
    ReferenceCheck check = new ReferenceCheck(configuration);
    configuration.services().values().forEach(check::service);
    configuration.routes().values().forEach(check::route);
    configuration.moves().values().forEach(check::move);
    return List.copyOf(check.faults);
  }

  private void service(Service service) {
    version("service " + service.name(), service.name(), service.active());
  }

  private void route(Route route) {
    if (!configuration.services().containsKey(route.service())) {
      faults.add("route " + route.name() + " references missing service " + route.service());
    }
  }

  private void move(Move move) {
    if (!configuration.services().containsKey(move.service())) {
      faults.add("move references missing service " + move.service());
    }
    version("move of " + move.service(), move.service(), move.from());
    version("move of " + move.service(), move.service(), move.to());
  }

  private void version(String referrer, ServiceName service, VersionName name) {
    VersionKey key = new VersionKey(service, name);
    if (!configuration.versions().containsKey(key)) {
      faults.add(referrer + " references missing version " + key);
    }
  }
}
