package io.hemlockbend.cli;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.model.Change;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Stages the removal of a route. */
@Command(name = "remove-route", description = "Stage the removal of a route.")
final class RemoveRouteCommand extends StagingCommand {
  @Parameters(paramLabel = "ROUTE", description = "The route's name.")
  private RouteName route;

  @Override
  Change change() {
    return new Change.RemoveRoute(route);
  }
}
