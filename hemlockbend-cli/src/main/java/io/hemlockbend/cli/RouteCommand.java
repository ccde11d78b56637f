package io.hemlockbend.cli;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Route;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Stages a route. */
@Command(name = "route", description = "Stage a route, new or replacing the one of that name.")
final class RouteCommand extends StagingCommand {
  @Parameters(paramLabel = "ROUTE", description = "The route's name.")
  private RouteName route;

  @Option(names = "--path", required = true, description = "The path prefix of its requests.")
  private String path;

  @Option(
      names = "--service",
      required = true,
      description = "The service that receives its requests.")
  private ServiceName service;

  @Option(
      names = "--priority",
      defaultValue = "normal",
      description = "urgent, normal or bulk; default normal.")
  private Priority priority = Priority.NORMAL;

  @Override
  Change change() {
    return new Change.PutRoute(new Route(route, path, service, priority));
  }
}
