package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.RequestId;
import java.util.Comparator;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Explains why nodes routed or refused a request; queries all given nodes, since each has only its
 * own decisions.
 */
@Command(
    name = "explain",
    description = "Explain why the nodes given by --node routed or refused a request.")
final class ExplainCommand extends AdminCommand {
  @Parameters(paramLabel = "REQUEST", description = "The request's id.")
  private RequestId request;

  @Override
  Object send(AdminClient client) {
    String path = AdminPaths.EXPLAIN + "?" + AdminPaths.REQUEST + "=" + request;
    List<DecisionRecord> decisions =
        client.getFromAll(path, AdminResponse.Explanation.class).stream()
            .flatMap(response -> response.decisions().stream())
            .sorted(Comparator.comparingLong(DecisionRecord::atMillis))
            .toList();
    return new AdminResponse.Explanation(request, decisions);
  }
}
