package io.hemlockbend.core.evidence;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

class VersionComparisonProperties {

  @Property(tries = 1000, seed = "11")
  void equalVersionsAreNotBad(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 30) int oldCalls,
      @ForAll @IntRange(min = 0, max = 30) int freshCalls,
      @ForAll @DoubleRange(min = 0, max = 0.5) double failing) {
    Strata strata = new Strata(new SplittableRandom(seed));
    VersionComparison comparison = new VersionComparison();
    for (int second = 0; second < 120; second++) {
      for (int domain = 0; domain < 2; domain++) {
        double share = domain == 0 && second > 60 ? failing : failing / 10;
        Counts old = strata.draw(oldCalls, share, 20 + 100 * domain);
        Counts fresh = strata.draw(freshCalls, share, 20 + 100 * domain);
        comparison.add(Strata.of(second, 0, domain, old, fresh));
      }
      Verdict verdict = comparison.verdict(500, (second + 1) * 1000L, (second + 1) * 1000L);
      assertThat(verdict).isNotInstanceOf(Verdict.Bad.class);
    }
  }
}
