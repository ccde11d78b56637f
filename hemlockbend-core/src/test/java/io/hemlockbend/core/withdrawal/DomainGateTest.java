package io.hemlockbend.core.withdrawal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.model.DomainState;
import org.junit.jupiter.api.Test;

class DomainGateTest {
  private static final DomainState RESTORING = new DomainState.Restoring(10_000, 20_000);

  @Test
  void withdrawnDomainGetsNothingAndOneInUseItsWholeShare() {
    assertThat(DomainGate.share(new DomainState.Withdrawn(5), 0)).isZero();
    assertThat(DomainGate.share(null, 0)).isEqualTo(DomainGate.FULL_PERMILLE);
  }

  @Test
  void restoreGrowsAndNeverShrinks() {
    int last = 0;
    for (long now = 0; now < 40_000; now += 500) {
      int share = DomainGate.share(RESTORING, now);
      assertThat(share).isGreaterThanOrEqualTo(last).isGreaterThanOrEqualTo(50);
      last = share;
    }
    assertThat(DomainGate.share(RESTORING, 20_000)).isEqualTo(525);
    assertThat(DomainGate.restored(RESTORING, 29_999)).isFalse();
    assertThat(DomainGate.restored(RESTORING, 30_000)).isTrue();
    assertThat(DomainGate.restored(new DomainState.Withdrawn(0), 30_000)).isFalse();
  }

  @Test
  void restoreWithoutRampIsInFullUseAtOnce() {
    assertThat(DomainGate.share(new DomainState.Restoring(5, 0), 5)).isEqualTo(1000);
  }
}
