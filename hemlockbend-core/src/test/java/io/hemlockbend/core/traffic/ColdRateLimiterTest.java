package io.hemlockbend.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ColdRateLimiterTest {
  private static final double PER_SECOND = 32;

  @Test
  void staysWithinTheDeclaredRateInAnySecondWithoutAnAllowance() {
    ColdRateLimiter rate = rate(ColdAllowance.NONE);
    rate.coldFor(10_000, 0);
    List<Long> sent = new ArrayList<>();
    for (long now = 0; now < 5_000; now++) {
      if (rate.available(now) > 0) {
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

  /** After a power failure of the whole mesh, demand is twice the declared rate. */
  @Test
  void usesTheAllowanceAndStaysBelowItInAnySecond() {
    ColdRateLimiter rate = rate(new ColdAllowance(1.5, 5));
    rate.coldFor(10_000, 0);
    List<Long> sent = new ArrayList<>();
    for (long now = 0; now < 5_000; now += 15) {
      if (rate.available(now) > 0) {
        rate.sent(now);
        sent.add(now);
      }
    }
    double allowed = PER_SECOND * 1.5 + 5;
    assertThat(sent).hasSizeGreaterThan((int) (5 * PER_SECOND * 1.25));
    for (long from : sent) {
      long inSecond = sent.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertThat(inSecond).isLessThanOrEqualTo((long) allowed);
    }
  }

  @Test
  void spreadsTheRequestsOverTheSecond() {
    ColdRateLimiter rate = rate(new ColdAllowance(1.5, 5));
    rate.coldFor(10_000, 0);
    int atOnce = 0;
    while (rate.available(5_000) > 0) {
      rate.sent(5_000);
      atOnce++;
    }
    assertThat(atOnce).isBetween(1, 6);
    long waitMillis = rate.waitMillis(1, 5_000);
    assertThat(waitMillis).isBetween(1L, 40L);
    assertThat(rate.available(5_000 + waitMillis)).isEqualTo(1);
  }

  @Test
  void doesNotLimitWarmUpstreams() {
    ColdRateLimiter rate = rate(ColdAllowance.NONE);
    rate.coldFor(100, 0);
    assertThat(rate.cold(99)).isTrue();
    assertThat(rate.cold(100)).isFalse();
    assertThat(rate.available(100)).isEqualTo(Integer.MAX_VALUE);
  }

  @Test
  void countsRequestsSentWhileTheUpstreamWasWarm() {
    ColdRateLimiter rate = rate(ColdAllowance.NONE);
    for (int i = 0; i < 100; i++) {
      rate.sent(500);
    }
    rate.coldFor(3_000, 600);
    assertThat(rate.available(600)).isZero();
  }

  /** Replays two announcements that were sent while the upstream was still warm and come late. */
  @Test
  void announcementsOnlyExtendTheColdTime() {
    ColdRateLimiter rate = rate(ColdAllowance.NONE);
    rate.coldFor(3_000, 0);
    rate.announcedColdFor(0, 400);
    rate.announcedColdFor(0, 1_900);
    assertThat(rate.coldMillis(2_000)).isEqualTo(1_000);
    rate.announcedColdFor(3_000, 2_000);
    assertThat(rate.coldMillis(2_000)).isEqualTo(3_000);
  }

  @Test
  void needsARateOnlyWhileTheUpstreamIsCold() {
    ColdRateLimiter rate = new ColdRateLimiter(ColdAllowance.NONE);
    assertThat(rate.rateMissing(0)).isFalse();
    rate.coldFor(3_000, 0);
    assertThat(rate.rateMissing(2_999)).isTrue();
    assertThat(rate.rateMissing(3_000)).isFalse();
    rate.perSecond(PER_SECOND);
    assertThat(rate.rateMissing(2_999)).isFalse();
  }

  private static ColdRateLimiter rate(ColdAllowance allowance) {
    ColdRateLimiter rate = new ColdRateLimiter(allowance);
    rate.perSecond(PER_SECOND);
    return rate;
  }
}
