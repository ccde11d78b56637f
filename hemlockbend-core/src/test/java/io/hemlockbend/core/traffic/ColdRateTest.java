package io.hemlockbend.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ColdRateTest {
  private static final double PER_SECOND = 32;

  @Test
  void sendsNoMoreThanTheStatedRateInAnySecond() {
    ColdRate rate = new ColdRate(PER_SECOND);
    rate.coldFor(10_000, 0);
    List<Long> sent = new ArrayList<>();
    for (long now = 0; now < 5_000; now++) {
      if (rate.room(now) > 0) {
        rate.sent(now);
        sent.add(now);
      }
    }
    assertThat(sent).hasSizeGreaterThan((int) (4 * PER_SECOND * 0.8));
    for (long from : sent) {
      long inSecond = sent.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertThat(inSecond).isLessThanOrEqualTo((long) PER_SECOND);
    }
  }

  @Test
  void boundsNothingOnceTheUpstreamIsWarm() {
    ColdRate rate = new ColdRate(PER_SECOND);
    rate.coldFor(100, 0);
    assertThat(rate.cold(99)).isTrue();
    assertThat(rate.cold(100)).isFalse();
    assertThat(rate.room(100)).isEqualTo(Integer.MAX_VALUE);
  }

  @Test
  void countsRequestsThatWereSentWhileItWasWarm() {
    ColdRate rate = new ColdRate(PER_SECOND);
    for (int i = 0; i < 100; i++) {
      rate.sent(500);
    }
    rate.coldFor(3_000, 600);
    assertThat(rate.room(600)).isZero();
  }
}
