package io.hemlockbend.core.evidence;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VersionComparisonTest {
  private static final int SHARE_PERMILLE = 200;

  private final Strata strata = new Strata(new SplittableRandom(7));
  private final VersionComparison comparison = new VersionComparison();

  private Verdict verdict(int second) {
    return comparison.verdict(SHARE_PERMILLE, second * 1000L, second * 1000L);
  }

  /**
   * Adds 40 old and 10 fresh calls per second and domain; returns the second of the bad verdict.
   */
  private int secondsToBad(
      int seconds, double oldFailing, double freshFailing, double freshMillis) {
    verdict(0);
    for (int second = 0; second < seconds; second++) {
      for (int domain = 0; domain < Strata.DOMAINS; domain++) {
        Counts old = strata.draw(40, oldFailing, 20);
        Counts fresh = strata.draw(10, freshFailing, freshMillis);
        comparison.add(Strata.of(second, 0, domain, old, fresh));
      }
      if (verdict(second + 1) instanceof Verdict.Bad) {
        return second + 1;
      }
    }
    return Integer.MAX_VALUE;
  }

  @Test
  void versionThatFailsAllIsBadWithinOneSecond() {
    assertThat(secondsToBad(10, 0.002, 1, 20)).isEqualTo(1);
  }

  @Test
  void versionThatFailsInPartIsBadWithinSeconds() {
    assertThat(secondsToBad(20, 0.002, 0.1, 20)).isLessThanOrEqualTo(10);
  }

  @Test
  void slowVersionIsBadWithinSeconds() {
    assertThat(secondsToBad(20, 0.002, 0.002, 60)).isLessThanOrEqualTo(5);
  }

  @Test
  void equalVersionIsGoodAfterEnoughCalls() {
    verdict(0);
    comparison.add(Strata.of(0, 0, 0, strata.draw(40, 0, 20), strata.draw(10, 0, 20)));
    assertThat(verdict(1)).isInstanceOf(Verdict.NotEnough.class);
    secondsToBad(5, 0.002, 0.002, 20);
    assertThat(verdict(6)).isInstanceOf(Verdict.Good.class);
  }

  @Test
  void callsOfAnEarlierShareDoNotCountTowardsGood() {
    secondsToBad(5, 0, 0, 20);
    assertThat(comparison.verdict(SHARE_PERMILLE + 1, 5000, 5000))
        .isEqualTo(new Verdict.NotEnough(false, "only 0 of 50 calls"));
  }

  @Test
  void overloadOfBothVersionsIsNotBad() {
    assertThat(secondsToBad(60, 0.5, 0.5, 20)).isEqualTo(Integer.MAX_VALUE);
  }

  @ParameterizedTest
  @ValueSource(longs = {15, 20})
  void singleCrashIsNotBad(long failures) {
    verdict(0);
    Counts crash = new Counts(20, failures, 0, 100);
    comparison.add(Strata.of(0, 0, 0, strata.draw(40, 0, 20), crash));
    assertThat(verdict(1)).isInstanceOf(Verdict.NotEnough.class);
  }

  @Test
  void successfulCallsClearSuspicion() {
    singleCrashIsNotBad(15);
    assertThat(((Verdict.NotEnough) verdict(2)).suspicious()).isTrue();
    secondsToBad(3, 0, 0, 20);
    assertThat(verdict(6)).isInstanceOf(Verdict.Good.class);
  }

  @Test
  void faultOnOneRouteIsFoundBesideHealthyRoutes() {
    int found = Integer.MAX_VALUE;
    for (int second = 0; second < 30 && found == Integer.MAX_VALUE; second++) {
      comparison.add(
          Strata.of(second, 0, 0, strata.draw(200, 0.01, 20), strata.draw(50, 0.01, 20)));
      comparison.add(Strata.of(second, 1, 0, strata.draw(8, 0, 20), strata.draw(2, 0.5, 20)));
      found = verdict(second + 1) instanceof Verdict.Bad ? second : found;
    }
    assertThat(found).isLessThan(30);
  }

  /** The fresh version gets a larger part of its calls in the failing domain. */
  private Verdict failingDomain(boolean perDomain) {
    for (int second = 0; second < 60; second++) {
      Counts oldFailing = strata.draw(10, 0.3, 60);
      Counts freshFailing = strata.draw(20, 0.3, 60);
      Counts oldHealthy = strata.draw(80, 0.002, 20);
      Counts freshHealthy = strata.draw(10, 0.002, 20);
      if (perDomain) {
        comparison.add(Strata.of(second, 0, 0, oldFailing, freshFailing));
        comparison.add(Strata.of(second, 0, 1, oldHealthy, freshHealthy));
      } else {
        comparison.add(
            Strata.of(second, 0, 0, oldFailing.plus(oldHealthy), freshFailing.plus(freshHealthy)));
      }
      verdict(second + 1);
    }
    return verdict(61);
  }

  @Test
  void failingDomainMakesNoVersionBad() {
    assertThat(failingDomain(true)).isInstanceOf(Verdict.Good.class);
  }

  @Test
  void comparisonAcrossDomainsWouldBlameTheVersion() {
    assertThat(failingDomain(false)).isInstanceOf(Verdict.Bad.class);
  }
}
