package io.hemlockbend.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class NestedRouteDetectorTest {
  private static final int ARRIVALS = 400;

  private final NestedRouteDetector detector = new NestedRouteDetector();

  /** Callers of the route arrive at random, nested calls only while the upstream is busy. */
  @Test
  void routeThatIsUsedOnlyWhileTheUpstreamIsBusyIsNested() {
    boolean nested = false;
    boolean callers = false;
    for (int i = 0; i < ARRIVALS; i++) {
      nested = detector.detect("stock", true);
      callers = detector.detect("orders", i % 8 != 0);
    }
    assertThat(nested).isTrue();
    assertThat(callers).isFalse();
  }

  @Test
  void newRouteIsNotNested() {
    assertThat(detector.detect("stock", true)).isFalse();
  }

  @Test
  void callOfARunThatWasGivenUpDoesNotChangeTheRoute() {
    boolean nested = false;
    for (int i = 1; i <= ARRIVALS; i++) {
      nested = detector.detect("stock", i % 100 != 0);
    }
    assertThat(nested).isTrue();
  }
}
