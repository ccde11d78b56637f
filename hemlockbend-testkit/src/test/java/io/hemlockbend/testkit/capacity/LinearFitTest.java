package io.hemlockbend.testkit.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class LinearFitTest {
  private static final double TOLERANCE = 1e-9;

  @Test
  void fitsAnExactLine() {
    LinearFit fit =
        LinearFit.fit(
            List.of(new Sample(1, 5), new Sample(2, 7), new Sample(3, 9), new Sample(10, 23)));
    assertThat(fit.slope()).isCloseTo(2, within(TOLERANCE));
    assertThat(fit.valueAt(100)).isCloseTo(203, within(TOLERANCE));
    assertThat(fit.errorAt(100)).isCloseTo(0, within(1e-6));
  }

  @Test
  void errorGrowsWithDistanceAndScatter() {
    LinearFit fit =
        LinearFit.fit(
            List.of(new Sample(1, 5), new Sample(2, 8), new Sample(3, 8), new Sample(4, 11)));
    assertThat(fit.errorAt(100)).isGreaterThan(fit.errorAt(3));
    assertThat(fit.errorAt(3)).isPositive();
  }

  @Test
  void fewerThanFourSizesAreRejected() {
    List<Sample> samples =
        List.of(new Sample(1, 1), new Sample(1, 2), new Sample(2, 3), new Sample(3, 3));
    assertThatThrownBy(() -> LinearFit.fit(samples)).isInstanceOf(IllegalArgumentException.class);
  }
}
