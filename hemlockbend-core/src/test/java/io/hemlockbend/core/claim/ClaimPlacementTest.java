package io.hemlockbend.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ClaimPlacementTest {

  @Test
  void onlyKeysOfARemovedUpstreamMove() {
    List<UpstreamId> four = List.of("u1", "u2", "u3", "u4").stream().map(UpstreamId::new).toList();
    Set<UpstreamId> firsts = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      IdempotencyKey key = new IdempotencyKey("k" + i);
      List<UpstreamId> order = ClaimPlacement.order(key, four);
      firsts.add(order.getFirst());
      List<UpstreamId> left = new ArrayList<>(order);
      left.remove(new UpstreamId("u2"));
      assertThat(ClaimPlacement.order(key, four.stream().filter(left::contains).toList()))
          .isEqualTo(left);
    }
    assertThat(firsts).hasSize(4);
  }
}
