package io.hemlockbend.testkit.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Collects the measurements of all probes; prints the table and the raw figures. */
final class CapacityReport {
  private static final String HEADER =
      """
      | role | cost | measured at | slope | at the size to design for | error |
      |---|---|---|---|---|---|
      """;

  private record Entry(ProbeSpec probe, List<Sample> samples, Line line) {}

  private final List<Entry> entries = new ArrayList<>();

  void add(Probe probe, List<Sample> samples) {
    entries.add(new Entry(probe.spec(), List.copyOf(samples), Line.fit(samples)));
  }

  /** Returns a row for each probe: slope, value at the size to design for, standard error. */
  String table() {
    StringBuilder table = new StringBuilder(HEADER);
    for (Entry entry : entries) {
      ProbeSpec probe = entry.probe();
      table.append(
          String.format(
              Locale.ROOT,
              "| %s | %s | %s %s | %.4g %s each | %.4g %s at %d | +-%.2g |%n",
              probe.role(),
              probe.name(),
              sizes(probe),
              probe.sizeUnit(),
              entry.line().slope(),
              probe.unit(),
              entry.line().at(probe.target()),
              probe.unit(),
              probe.target(),
              entry.line().errorAt(probe.target())));
    }
    return table.toString();
  }

  /** Returns every sample as comma-separated values. */
  String raw() {
    StringBuilder raw = new StringBuilder("role,cost,size_unit,size,unit,value\n");
    for (Entry entry : entries) {
      for (Sample sample : entry.samples()) {
        raw.append(
            String.format(
                Locale.ROOT,
                "%s,%s,%s,%.0f,%s,%.3f%n",
                entry.probe().role(),
                quoted(entry.probe().name()),
                entry.probe().sizeUnit(),
                sample.size(),
                entry.probe().unit(),
                sample.value()));
      }
    }
    return raw.toString();
  }

  private static String sizes(ProbeSpec probe) {
    return probe.sizes().stream().map(String::valueOf).reduce((a, b) -> a + ", " + b).orElse("");
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }
}
