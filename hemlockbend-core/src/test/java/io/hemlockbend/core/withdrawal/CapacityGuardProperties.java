package io.hemlockbend.core.withdrawal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.hemlockbend.core.api.FailureDomain;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CapacityGuardProperties {
  private static DomainLoad load(int index, double capacity, double offered, int permille) {
    return new DomainLoad(new FailureDomain("domain-" + index), capacity, offered, permille);
  }

  @Property(seed = "1")
  void noDomainExceedsItsUsableCapacity(
      @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 0, max = 500) Integer> capacities,
      @ForAll @Size(5) List<@IntRange(min = 0, max = 500) Integer> offers,
      @ForAll @Size(5) List<@IntRange(min = 0, max = 1000) Integer> shares) {
    List<DomainLoad> loads = new ArrayList<>();
    for (int i = 0; i < capacities.size(); i++) {
      loads.add(load(i, capacities.get(i), offers.get(i), shares.get(i)));
    }
    CapacityPlan plan = CapacityGuard.plan(loads);
    double served = loads.stream().mapToDouble(DomainLoad::offered).sum() * (1 - plan.shedShare());
    assertThat(plan.shedShare()).isBetween(0.0, 1.0);
    for (DomainLoad load : loads) {
      double usable = load.capacity() * CapacityGuard.FILL_SHARE * load.sharePermille() / 1000;
      double planned = served * plan.weights().getOrDefault(load.domain(), 0.0);
      assertThat(planned).isLessThanOrEqualTo(usable + 1e-6);
    }
    if (!plan.weights().isEmpty()) {
      double sum = plan.weights().values().stream().mapToDouble(Double::doubleValue).sum();
      assertThat(sum).isCloseTo(1, within(1e-9));
    }
  }

  @Example
  void callsOfWithdrawnDomainGoToSpareCapacityAndTheRestIsShed() {
    CapacityPlan spare =
        CapacityGuard.plan(
            List.of(load(0, 100, 50, 0), load(1, 100, 50, 1000), load(2, 200, 50, 1000)));
    assertThat(spare.shedShare()).isZero();
    assertThat(spare.weights().get(new FailureDomain("domain-0"))).isZero();
    assertThat(spare.weights().get(new FailureDomain("domain-2"))).isGreaterThan(0.5);
    CapacityPlan overloaded =
        CapacityGuard.plan(List.of(load(0, 100, 80, 0), load(1, 100, 80, 1000)));
    assertThat(overloaded.shedShare()).isCloseTo(1 - 90.0 / 160, within(1e-9));
  }

  @Example
  void withoutAnyCapacityAllIsShed() {
    assertThat(CapacityGuard.plan(List.of(load(0, 100, 10, 0))).shedShare()).isEqualTo(1);
  }
}
