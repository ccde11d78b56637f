package io.hemlockbend.proxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class MetricsPageTest {
  private final MetricsPage page = new MetricsPage();

  @Test
  void showsCountersGaugesAndHistogram() {
    long[] latency = {1, 0, 0, 2, 0, 0, 0, 0, 0, 0, 1};
    String text = page.render(snapshot(Map.of(200, 3L, 503, 1L), latency));
    assertThat(text)
        .contains("hemlockbend_requests_total{status=\"200\"} 3.0")
        .contains("hemlockbend_requests_total{status=\"503\"} 1.0")
        .contains("hemlockbend_request_millis_total{le=\"50\"} 3.0")
        .contains("hemlockbend_request_millis_total{le=\"+Inf\"} 4.0")
        .contains("hemlockbend_upstream_limit 9.0")
        .contains("hemlockbend_loop_late_millis_total 250.0")
        .contains("hemlockbend_heap_bytes 4.0E7")
        .contains("hemlockbend_peer_bytes_waiting 1500000.0")
        .contains("hemlockbend_large_body_bytes_total 840000.0")
        .contains("hemlockbend_large_body_millis_total 4200.0");
  }

  @Test
  void showsHowFarTheStoreWasFollowed() {
    assertThat(page.render(snapshot(Map.of(200, 1L), new long[11])))
        .contains("hemlockbend_store_calls_total 5.0")
        .contains("hemlockbend_store_era 2.0")
        .contains("hemlockbend_store_position 4713.0")
        .contains("hemlockbend_store_silent_millis 350.0")
        .contains("hemlockbend_orders_version 4711.0");
  }

  @Test
  void addsStatusesOfLaterSnapshots() {
    page.render(snapshot(Map.of(200, 1L), new long[11]));
    assertThat(page.render(snapshot(Map.of(200, 5L, 504, 2L), new long[11])))
        .contains("hemlockbend_requests_total{status=\"200\"} 5.0")
        .contains("hemlockbend_requests_total{status=\"504\"} 2.0");
  }

  private static NodeSnapshot snapshot(Map<Integer, Long> byStatus, long[] latency) {
    return new NodeSnapshot(
        byStatus,
        Map.of("answered", 3L),
        latency,
        120,
        4,
        2,
        1,
        3,
        0,
        9,
        7,
        13,
        4_711,
        new StoreProgress(5, 2, 4_713, 350),
        0,
        new ProcessUsage(250, 40_000_000, 1_500_000, 3, 840_000, 4_200));
  }
}
