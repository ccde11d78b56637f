package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallOutcome;
import java.util.Locale;

/** Formats a report as text. */
final class ReportText {
  private static final double MICROS_PER_MILLI = 1_000;

  private ReportText() {}

  static String of(LoadReport report) {
    StringBuilder text = new StringBuilder();
    line(text, "calls %d, whole %d (%.4f %%)", report.calls(), report.whole(), percent(report));
    line(text, "wrong or short answers that look whole %d", report.wrong());
    line(
        text,
        "latency of whole answers: p50 %.3f ms, p99 %.3f ms, max %.3f ms",
        report.latency().p50Micros() / MICROS_PER_MILLI,
        report.latency().p99Micros() / MICROS_PER_MILLI,
        report.latency().maxMicros() / MICROS_PER_MILLI);
    report.answers().forEach((state, count) -> line(text, "answer %s: %d", state, count));
    for (LoadReport.StatusCount count : report.statuses()) {
      String outcome = count.outcome().map(CallOutcome::headerValue).orElse("-");
      line(text, "status %d, outcome %s: %d", count.status(), outcome, count.count());
    }
    report.versions().forEach((version, count) -> line(text, "version %s: %d", version, count));
    return text.toString();
  }

  private static double percent(LoadReport report) {
    return report.successShare() * 100;
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
  }
}
