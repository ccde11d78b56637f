package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminAnswer;
import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.api.RequestId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells why a node routed or refused a request. */
@Command(name = "explain", description = "Tell why the node routed or refused a request.")
final class ExplainCommand extends AdminCommand {
  @Parameters(paramLabel = "REQUEST", description = "The request's id.")
  private RequestId request;

  @Override
  Object ask(AdminClient client) {
    String path = AdminPaths.EXPLAIN + "?" + AdminPaths.REQUEST + "=" + request;
    return client.get(path, AdminAnswer.Explanation.class);
  }
}
