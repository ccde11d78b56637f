package io.hemlockbend.testkit.capacity;

import java.util.List;

/**
 * A line fitted by least squares, with the standard error of a prediction (Draper and Smith,
 * "Applied Regression Analysis", section 1.4).
 *
 * @param intercept the value at size zero
 * @param slope the growth for each unit of size
 * @param residual the standard deviation of the samples about the line
 * @param meanSize the mean of the sizes
 * @param sumSquares the sum of squared distances of the sizes from their mean
 * @param count how many samples there were
 */
public record Line(
    double intercept,
    double slope,
    double residual,
    double meanSize,
    double sumSquares,
    int count) {
  private static final int FEWEST = 4;

  /**
   * Fits a line.
   *
   * @param samples at least four samples of different sizes
   * @throws IllegalArgumentException when there are too few
   */
  public static Line fit(List<Sample> samples) {
    if (samples.stream().mapToDouble(Sample::size).distinct().count() < FEWEST) {
      throw new IllegalArgumentException("a line needs at least " + FEWEST + " sizes");
    }
    double meanSize = samples.stream().mapToDouble(Sample::size).average().orElseThrow();
    double meanValue = samples.stream().mapToDouble(Sample::value).average().orElseThrow();
    double sumSquares = 0;
    double sumProducts = 0;
    for (Sample sample : samples) {
      double distance = sample.size() - meanSize;
      sumSquares += distance * distance;
      sumProducts += distance * (sample.value() - meanValue);
    }
    double slope = sumProducts / sumSquares;
    double intercept = meanValue - slope * meanSize;
    double residual = residual(samples, intercept, slope);
    return new Line(intercept, slope, residual, meanSize, sumSquares, samples.size());
  }

  private static double residual(List<Sample> samples, double intercept, double slope) {
    double sum = 0;
    for (Sample sample : samples) {
      double miss = sample.value() - intercept - slope * sample.size();
      sum += miss * miss;
    }
    return Math.sqrt(sum / (samples.size() - 2));
  }

  /** Returns the value on the line at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }

  /** Returns the standard error of a new measurement at a size. */
  public double errorAt(double size) {
    double distance = size - meanSize;
    return residual * Math.sqrt(1 + 1.0 / count + distance * distance / sumSquares);
  }
}
