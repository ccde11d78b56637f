package io.hemlockbend.cli;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.table.RowValue;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Prints responses as tables or as JSON. */
final class ResponsePrinter {
  private static final String NONE = "-";

  private ResponsePrinter() {}

  static void print(Object response, OutputForm form, PrintWriter out) {
    if (form == OutputForm.JSON) {
      out.println(new String(new JsonCodec().encode(response), StandardCharsets.UTF_8));
    } else {
      table(response, out);
    }
    out.flush();
  }

  private static void table(Object response, PrintWriter out) {
    switch (response) {
      case AdminResponse.Staged staged -> staged(staged, out);
      case AdminResponse.Accepted accepted ->
          out.println("accepted as version " + accepted.version());
      case AdminResponse.Show show -> show(show, out);
      case AdminResponse.History history -> history(history, out);
      case AdminResponse.Explanation explanation -> explanation(explanation, out);
      default -> out.println(response);
    }
  }

  private static void staged(AdminResponse.Staged staged, PrintWriter out) {
    out.println(
        "%d changes staged by %s on version %s; version %s is in force"
            .formatted(
                staged.changes().size(), staged.operator(), staged.base(), staged.inForce()));
    TextTable lines = new TextTable("PART", "BEFORE", "AFTER");
    staged
        .lines()
        .forEach(
            line -> lines.row(line.part(), line.before().orElse(NONE), line.after().orElse(NONE)));
    lines.print(out);
    staged.faults().forEach(fault -> out.println("not valid yet: " + fault.message()));
  }

  private static void show(AdminResponse.Show show, PrintWriter out) {
    String newest =
        show.newestAccepted()
            .map(version -> "newest accepted " + version)
            .orElse("the platform is away: the table could not be read");
    out.println("version " + show.inForce() + " in force on this node; " + newest);
    TextTable services =
        new TextTable("SERVICE", "OWNER", "VERSION", "STATE", "PERMILLE", "UPSTREAMS", "DUE");
    show.services()
        .forEach(
            service -> service.versions().forEach(version -> service(services, service, version)));
    services.print(out);
    TextTable routes = new TextTable("ROUTE", "PATH", "SERVICE", "PRIORITY");
    show.routes().forEach(r -> routes.row(r.name(), r.pathPrefix(), r.service(), r.priority()));
    routes.print(out);
    TextTable domains = new TextTable("DOMAIN", "STATE", "SINCE", "NODES");
    show.domains()
        .forEach(
            d ->
                domains.row(
                    d.domain(),
                    d.state(),
                    d.sinceMillis().map(ResponsePrinter::time).orElse(NONE),
                    d.nodes()));
    domains.print(out);
    TextTable nodes = new TextTable("NODE", "DOMAIN", "STATUS", "VERSION", "LAGS");
    show.nodes()
        .forEach(
            n ->
                nodes.row(
                    n.node(), n.domain(), n.status(), n.applied(), n.lagging() ? "yes" : "no"));
    nodes.print(out);
  }

  private static void service(
      TextTable table, AdminResponse.ServiceLine service, AdminResponse.VersionLine version) {
    table.row(
        service.service(),
        service.owner(),
        version.version(),
        version.state(),
        version.sharePermille(),
        version.upstreams(),
        service.deadlineMillis().map(ResponsePrinter::time).orElse(NONE));
  }

  private static void history(AdminResponse.History history, PrintWriter out) {
    TextTable table = new TextTable("VERSION", "AT", "AUTHOR", "COMMIT", "CHANGES");
    for (RowValue.History row : history.versions()) {
      table.row(
          row.version(),
          time(row.atMillis()),
          row.author(),
          row.commit(),
          ChangeText.of(row.changes()));
    }
    table.print(out);
  }

  private static void explanation(AdminResponse.Explanation explanation, PrintWriter out) {
    if (explanation.decisions().isEmpty()) {
      out.println("none of the queried nodes has a decision on request " + explanation.request());
      return;
    }
    TextTable table =
        new TextTable("AT", "KIND", "ROUTE", "VERSION", "UPSTREAM", "REFUSED", "REASON");
    explanation
        .decisions()
        .forEach(
            d ->
                table.row(
                    time(d.atMillis()),
                    d.kind(),
                    d.route().map(Object::toString).orElse(NONE),
                    d.version().map(Object::toString).orElse(NONE),
                    d.upstream().map(Object::toString).orElse(NONE),
                    d.refused() ? "yes" : "no",
                    d.reason()));
    table.print(out);
  }

  private static String time(long millis) {
    return Instant.ofEpochMilli(millis).toString();
  }
}
