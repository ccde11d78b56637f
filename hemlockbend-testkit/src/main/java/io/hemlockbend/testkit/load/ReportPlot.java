package io.hemlockbend.testkit.load;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the share of whole answers and the p99 latency per second. */
final class ReportPlot {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 360;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double PERCENT = 100;

  private ReportPlot() {}

  /** Writes the plot as a PNG file. */
  static void write(LoadReport report, Path file) throws IOException {
    System.setProperty("java.awt.headless", "true");
    List<LoadReport.Second> seconds = report.seconds();
    double[] secondsAxis = seconds.stream().mapToDouble(LoadReport.Second::second).toArray();
    XYChart share =
        chart(
            "Whole answers, %",
            secondsAxis,
            seconds.stream().mapToDouble(each -> PERCENT * each.whole() / each.calls()).toArray());
    XYChart latency =
        chart(
            "Latency p99, ms",
            secondsAxis,
            seconds.stream().mapToDouble(each -> each.p99Micros() / MICROS_PER_MILLI).toArray());
    try (OutputStream out = Files.newOutputStream(file)) {
      BitmapEncoder.saveBitmap(List.of(share, latency), 2, 1, out, BitmapFormat.PNG);
    }
  }

  private static XYChart chart(String name, double[] secondsAxis, double[] values) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .xAxisTitle("second")
            .yAxisTitle(name)
            .build();
    chart.getStyler().setYAxisMin(0.0);
    chart.addSeries(name, secondsAxis, values).setMarker(SeriesMarkers.NONE);
    return chart;
  }
}
