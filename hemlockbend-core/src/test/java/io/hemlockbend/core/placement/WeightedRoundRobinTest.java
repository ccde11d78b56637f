package io.hemlockbend.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.traffic.WeightedService;
import java.util.List;
import org.junit.jupiter.api.Test;

class WeightedRoundRobinTest {
  private static final ServiceName BIG = new ServiceName("big");
  private static final ServiceName SMALL = new ServiceName("small");

  @Test
  void givesEachServiceItsShareOfFewRequests() {
    List<WeightedService> services =
        List.of(new WeightedService(BIG, 90), new WeightedService(SMALL, 10));
    WeightedRoundRobin roundRobin = new WeightedRoundRobin(services, 0);
    int small = 0;
    for (int i = 0; i < 20; i++) {
      small += roundRobin.next().equals(SMALL) ? 1 : 0;
    }
    assertThat(small).isEqualTo(2);
  }

  @Test
  void givesNothingToWeightZero() {
    List<WeightedService> services =
        List.of(new WeightedService(BIG, 1), new WeightedService(SMALL, 0));
    WeightedRoundRobin roundRobin = new WeightedRoundRobin(services, 13);
    for (int i = 0; i < 50; i++) {
      assertThat(roundRobin.next()).isEqualTo(BIG);
    }
  }
}
