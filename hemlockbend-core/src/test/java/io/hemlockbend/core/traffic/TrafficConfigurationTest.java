package io.hemlockbend.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.api.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;

class TrafficConfigurationTest {
  private static final WeightedService QUOTES = new WeightedService(new ServiceName("quotes"), 1);

  private final TrafficConfiguration configuration =
      new TrafficConfiguration(
          7,
          List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")),
          List.of(),
          CallerLimits.DEFAULT);

  @Test
  void matchesTheLongestPrefix() {
    assertThat(configuration.route("shop.example", "/a/b/c").orElseThrow().name())
        .isEqualTo("long");
    assertThat(configuration.route("shop.example", "/a/bc").orElseThrow().name())
        .isEqualTo("short");
  }

  @Test
  void ignoresTheQueryThePortAndTheCaseOfTheHost() {
    assertThat(configuration.route("SHOP.example:80", "/c/?x=/a/b/").orElseThrow().name())
        .isEqualTo("other");
  }

  @Test
  void findsNoRouteForAnotherHostOrPath() {
    assertThat(configuration.route("other.example", "/a/")).isEmpty();
    assertThat(configuration.route("shop.example", "/a")).isEmpty();
    assertThat(configuration.route(null, "/a/")).isEmpty();
  }

  @Test
  void refusesPrefixesWithoutSlashes() {
    assertThatThrownBy(() -> route("bad", "/a")).isInstanceOf(IllegalArgumentException.class);
  }

  private static TrafficRoute route(String name, String prefix) {
    return new TrafficRoute(
        name, "shop.example", prefix, RetrySemantics.IDEMPOTENT, 1000, 200, 1, 2, List.of(QUOTES));
  }
}
