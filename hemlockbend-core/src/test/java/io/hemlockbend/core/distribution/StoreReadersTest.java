package io.hemlockbend.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StoreReadersTest {
  @Test
  void firstTwoNodesOfDomainReadTheStore() {
    List<NodeId> all = new ArrayList<>();
    for (int i = 10; i < 40; i++) {
      all.add(new NodeId("n" + i));
    }
    assertThat(all.stream().filter(node -> readsStore(node, all)))
        .containsExactly(new NodeId("n10"), new NodeId("n11"));
  }

  @Test
  void nodeWithFewerThanTwoPredecessorsReadsTheStore() {
    assertThat(StoreReaders.readsStore(new NodeId("n9"), List.of())).isTrue();
    assertThat(StoreReaders.readsStore(new NodeId("n9"), List.of(new NodeId("n1")))).isTrue();
  }

  private static boolean readsStore(NodeId node, List<NodeId> all) {
    return StoreReaders.readsStore(
        node, all.stream().filter(other -> !other.equals(node)).toList());
  }
}
