package io.hemlockbend.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Route;
import java.util.List;
import org.junit.jupiter.api.Test;

class RouteIndexTest {
  private final RouteIndex index =
      new RouteIndex(List.of(route("quotes", "/quotes"), route("photos", "/quotes/photos/")));

  @Test
  void longestPrefixWins() {
    assertThat(index.find("/quotes/photos/7").orElseThrow().name().value()).isEqualTo("photos");
    assertThat(index.find("/quotes/7").orElseThrow().name().value()).isEqualTo("quotes");
  }

  @Test
  void prefixEndsAtASlash() {
    assertThat(index.find("/quotesheet")).isEmpty();
    assertThat(index.find("/")).isEmpty();
  }

  @Test
  void rootRouteMatchesAllOtherPaths() {
    RouteIndex withRoot = new RouteIndex(List.of(route("rest", "/"), route("quotes", "/quotes")));
    assertThat(withRoot.find("/other").orElseThrow().name().value()).isEqualTo("rest");
  }

  private static Route route(String name, String prefix) {
    return new Route(new RouteName(name), prefix, new ServiceName("quotes"), Priority.NORMAL);
  }
}
