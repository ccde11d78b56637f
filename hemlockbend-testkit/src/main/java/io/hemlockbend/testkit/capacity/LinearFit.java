package io.hemlockbend.testkit.capacity;

import java.util.List;

/**
 * A line fitted by least squares, with the standard error of a prediction (Draper and Smith,
 * "Applied Regression Analysis", section 1.4).
 *
 * @param intercept the value at size zero
 * @param slope the growth per unit of size
 * @param residual the standard deviation of the samples about the line
 * @param meanSize the mean of the sizes
 * @param sumSquares the sum of squared distances of the sizes from their mean
 * @param count the number of samples
 */
public record LinearFit(
    double intercept,
    double slope,
    double residual,
    double meanSize,
    double sumSquares,
    int count) {
  private static final int MIN_SIZES = 4;

  /**
   * Fits a line.
   *
   * @param samples samples of at least four different sizes
   * @throws IllegalArgumentException when there are fewer than four sizes
   */
  public static LinearFit fit(List<Sample> samples) {
    if (samples.stream().mapToDouble(Sample::size).distinct().count() < MIN_SIZES) {
      throw new IllegalArgumentException("a fit needs at least " + MIN_SIZES + " sizes");
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
    return new LinearFit(intercept, slope, residual, meanSize, sumSquares, samples.size());
  }

  private static double residual(List<Sample> samples, double intercept, double slope) {
    double sum = 0;
    for (Sample sample : samples) {
      double deviation = sample.value() - intercept - slope * sample.size();
      sum += deviation * deviation;
    }
    return Math.sqrt(sum / (samples.size() - 2));
  }

  /** Returns the predicted value at a size. */
  public double valueAt(double size) {
    return intercept + slope * size;
  }

  /** Returns the standard error of the prediction of a new measurement at a size. */
  public double errorAt(double size) {
    double distance = size - meanSize;
    return residual * Math.sqrt(1 + 1.0 / count + distance * distance / sumSquares);
  }
}
