package io.hemlockbend.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.NodeId;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UpstreamChooserTest {
  private final UpstreamChooser chooser = new UpstreamChooser(new SplittableRandom(7));

  @Test
  void returnsEmptyWithoutUpstreams() {
    assertThat(chooser.choose(List.of())).isEmpty();
  }

  @Test
  void neverChoosesTheMostLoadedOfThree() {
    PlacedUpstream full = upstream("full", 9);
    List<PlacedUpstream> all = List.of(upstream("a", 1), full, upstream("b", 2));
    for (int i = 0; i < 200; i++) {
      assertThat(chooser.choose(all)).isPresent().get().isNotEqualTo(full);
    }
  }

  @Test
  void weighsServiceTimeAgainstLoad() {
    PlacedUpstream slowAndIdle =
        new PlacedUpstream(new NodeId("slow"), 0, 0, 0, 9, 27, 400, 0, false, 0, 0);
    PlacedUpstream fastAndBusy =
        new PlacedUpstream(new NodeId("fast"), 4, 0, 0, 9, 27, 40, 0, false, 0, 0);
    assertThat(chooser.choose(List.of(slowAndIdle, fastAndBusy))).contains(fastAndBusy);
  }

  @Test
  void staysInTheOwnDomainWhileItHasCapacity() {
    PlacedUpstream local =
        new PlacedUpstream(new NodeId("local"), 5, 0, 0, 9, 27, 90, 0, true, 0, 0);
    List<PlacedUpstream> all = List.of(upstream("a", 0), local, upstream("b", 0));
    for (int i = 0; i < 200; i++) {
      assertThat(chooser.choose(all)).contains(local);
    }
  }

  @Test
  void leavesTheOwnDomainWhenItIsFull() {
    PlacedUpstream local =
        new PlacedUpstream(new NodeId("local"), 8, 0, 0, 9, 27, 60, 0, true, 0, 0);
    List<PlacedUpstream> all = List.of(upstream("a", 0), local, upstream("b", 0));
    for (int i = 0; i < 200; i++) {
      assertThat(chooser.choose(all)).isPresent().get().isNotEqualTo(local);
    }
  }

  @Test
  void avoidsLocalIdleUpstreamThatFailsHalfOfItsRequests() {
    PlacedUpstream grey =
        new PlacedUpstream(new NodeId("grey"), 0, 0, 0, 9, 27, 60, 0.5, true, 0, 0);
    List<PlacedUpstream> all = List.of(upstream("a", 2), grey, upstream("b", 2));
    int failing = 0;
    for (int i = 0; i < 200; i++) {
      failing += chooser.choose(all).orElseThrow().equals(grey) ? 1 : 0;
    }
    assertThat(failing).isZero();
  }

  @Test
  void leavesTheOwnDomainWhenBodiesAreQueuedThere() {
    double bodyWaitMillis = UpstreamChooser.MAX_LOCAL_BODY_WAIT_MILLIS + 1;
    PlacedUpstream local =
        new PlacedUpstream(new NodeId("local"), 0, 0, 0, 9, 27, 60, 0, true, 100, bodyWaitMillis);
    PlacedUpstream remote =
        new PlacedUpstream(new NodeId("remote"), 0, 0, 0, 9, 27, 60, 0, false, 104, 0);
    for (int i = 0; i < 200; i++) {
      assertThat(chooser.choose(List.of(local, remote))).contains(remote);
    }
  }

  private static PlacedUpstream upstream(String node, double running) {
    return new PlacedUpstream(new NodeId(node), running, 0, 0, 9, 27, 60, 0, false, 0, 0);
  }
}
