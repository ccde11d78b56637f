package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class NodeDiscoveryTest {
  private final NodeDiscovery discovery = new NodeDiscovery();

  @Test
  void requestsListOnlyWhileOthersKnowMore() {
    assertThat(discovery.requestDue(1, 0)).isFalse();
    assertThat(discovery.countReported(85, 1)).isFalse();
    assertThat(discovery.requestDue(1, 0)).isTrue();
    discovery.listRequested(0);
    assertThat(discovery.countReported(85, 85)).isTrue();
    assertThat(discovery.requestDue(85, 10_000)).isFalse();
  }

  /** Every other node sends a hello to a starting node, which must not request a list from each. */
  @Test
  void requestsOneListAtATime() {
    discovery.countReported(85, 2);
    assertThat(discovery.requestDue(2, 1_000)).isTrue();
    discovery.listRequested(1_000);
    assertThat(discovery.requestDue(2, 1_100)).isFalse();
    assertThat(discovery.requestDue(2, 1_300)).isTrue();
  }

  /** Other nodes may still count a departed node that this one has removed. */
  @Test
  void stopsRequestingForDepartedNodes() {
    discovery.countReported(86, 85);
    assertThat(discovery.requestDue(85, 1_000)).isTrue();
    discovery.listReceived();
    assertThat(discovery.requestDue(85, 10_000)).isFalse();
  }
}
