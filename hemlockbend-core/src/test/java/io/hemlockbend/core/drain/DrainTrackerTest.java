package io.hemlockbend.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DrainTrackerTest {
  private final DrainTracker drain = new DrainTracker(1_000, 10_000);

  @Test
  void takesNoNewWorkAndEndsOnceTheWorkInFlightHas() {
    assertThat(drain.begin()).isTrue();
    drain.drain(0);
    assertThat(drain.begin()).isFalse();
    assertThat(drain.state(5_000)).isEqualTo(new DrainState.Draining(1, 10_000));
    drain.end();
    assertThat(drain.state(5_001)).isEqualTo(new DrainState.Done(0));
  }

  @Test
  void staysOpenForTheNoticeAndReportsRequestsCutAtTheBound() {
    drain.drain(0);
    assertThat(drain.state(999)).isInstanceOf(DrainState.Draining.class);
    assertThat(drain.state(1_000)).isEqualTo(new DrainState.Done(0));
    DrainTracker stuck = new DrainTracker(1_000, 10_000);
    stuck.begin();
    stuck.drain(0);
    assertThat(stuck.state(10_000)).isEqualTo(new DrainState.Done(1));
  }
}
