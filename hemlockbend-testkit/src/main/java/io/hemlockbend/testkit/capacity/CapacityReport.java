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

  private record Measurement(ProbeSpec probe, List<Sample> samples, LinearFit fit) {}

  private final List<Measurement> measurements = new ArrayList<>();

  void add(Probe probe, List<Sample> samples) {
    measurements.add(new Measurement(probe.spec(), List.copyOf(samples), LinearFit.fit(samples)));
  }

  /** Returns a row for each probe: slope, predicted value at the target size, standard error. */
  String table() {
    StringBuilder table = new StringBuilder(HEADER);
    for (Measurement measurement : measurements) {
      ProbeSpec probe = measurement.probe();
      table.append(
          String.format(
              Locale.ROOT,
              "| %s | %s | %s %s | %.4g %s each | %.4g %s at %d | +-%.2g |%n",
              probe.role(),
              probe.name(),
              sizes(probe),
              probe.sizeUnit(),
              measurement.fit().slope(),
              probe.unit(),
              measurement.fit().valueAt(probe.target()),
              probe.unit(),
              probe.target(),
              measurement.fit().errorAt(probe.target())));
    }
    return table.toString();
  }

  /** Returns every sample as comma-separated values. */
  String raw() {
    StringBuilder raw = new StringBuilder("role,cost,size_unit,size,unit,value\n");
    for (Measurement measurement : measurements) {
      for (Sample sample : measurement.samples()) {
        raw.append(
            String.format(
                Locale.ROOT,
                "%s,%s,%s,%.0f,%s,%.3f%n",
                measurement.probe().role(),
                quoted(measurement.probe().name()),
                measurement.probe().sizeUnit(),
                sample.size(),
                measurement.probe().unit(),
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
