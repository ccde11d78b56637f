package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class NodeCensusTest {
  private final NodeCensus census = new NodeCensus();

  @Test
  void asksOnlyWhileOthersKnowMore() {
    assertThat(census.due(1, 0)).isFalse();
    assertThat(census.told(85, 1)).isFalse();
    assertThat(census.due(1, 0)).isTrue();
    census.asked(0);
    assertThat(census.told(85, 85)).isTrue();
    assertThat(census.due(85, 10_000)).isFalse();
  }

  /** All others greet a node that starts; it must not ask each of them. */
  @Test
  void asksOneAtATime() {
    census.told(85, 2);
    assertThat(census.due(2, 1_000)).isTrue();
    census.asked(1_000);
    assertThat(census.due(2, 1_100)).isFalse();
    assertThat(census.due(2, 1_300)).isTrue();
  }

  /** A node may have forgotten one that is gone, which others still count. */
  @Test
  void doesNotAskForeverForNodesThatAreGone() {
    census.told(86, 85);
    assertThat(census.due(85, 1_000)).isTrue();
    census.answered();
    assertThat(census.due(85, 10_000)).isFalse();
  }
}
