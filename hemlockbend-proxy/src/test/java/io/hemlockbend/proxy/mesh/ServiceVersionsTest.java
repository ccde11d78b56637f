package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.placement.VersionGroup;
import io.hemlockbend.proxy.peer.MoveOrder;
import io.hemlockbend.proxy.peer.MoveShare;
import io.hemlockbend.proxy.peer.OperatorOrders;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ServiceVersionsTest {
  private static final ServiceName SERVICE = new ServiceName("quotes");
  private static final VersionName V1 = new VersionName("v1");
  private static final VersionName V2 = new VersionName("v2");
  private static final VersionName V3 = new VersionName("v3");

  private final ServiceVersions versions = new ServiceVersions();

  /**
   * Upstreams of a bad version stay for some seconds and may still run when the next move begins.
   */
  @Test
  void versionTakenBackStaysBlockedWhileTrafficMovesToThirdOne() {
    order(1, V2, 1, MoveOrder.State.RUNNING);
    versions.applyShare(
        new MoveShare(
            SERVICE, V2, version(1), 5, 0, Optional.empty(), 3_000, MoveOrder.State.ROLLED_BACK));
    order(2, V3, 2, MoveOrder.State.RUNNING);
    assertThat(versions.group(SERVICE, V1)).isEqualTo(VersionGroup.CURRENT);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.BLOCKED);
    assertThat(versions.group(SERVICE, V3)).isEqualTo(VersionGroup.FRESH);
  }

  @Test
  void restartedNodeRestoresVersionsTakenBackFromTheOrders() {
    versions.updateOrders(
        new OperatorOrders(
            version(7),
            Set.of(),
            List.of(new MoveOrder(SERVICE, V3, version(7), 1_000, MoveOrder.State.RUNNING)),
            Set.of(new VersionKey(SERVICE, V2))),
        false);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.BLOCKED);
    versions.updateOrders(new OperatorOrders(version(8), Set.of(), List.of(), Set.of()), false);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.BLOCKED);
  }

  @Test
  void newOrderMayRetryVersionTakenBack() {
    order(1, V2, 1, MoveOrder.State.ROLLED_BACK);
    order(2, V2, 2, MoveOrder.State.RUNNING);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.FRESH);
    order(3, V2, 2, MoveOrder.State.COMPLETED);
    order(4, V3, 3, MoveOrder.State.RUNNING);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.CURRENT);
  }

  /** The restored store has lost the outcome and gives the order another version. */
  @Test
  void finishedMoveDoesNotStartAnewWhenItsOrderIsWrittenAgain() {
    order(1, V2, 1, MoveOrder.State.ROLLED_BACK);
    orderAgain(2, 9, true);
    assertThat(versions.order(SERVICE).state()).isEqualTo(MoveOrder.State.ROLLED_BACK);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.BLOCKED);
    orderAgain(2, 12, true);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.BLOCKED);
    orderAgain(2, 15, false);
    assertThat(versions.group(SERVICE, V2)).isEqualTo(VersionGroup.FRESH);
  }

  @Test
  void runningMoveKeepsItsShareWhenItsOrderIsWrittenAgain() {
    order(5, V2, 5, MoveOrder.State.RUNNING);
    share(version(5), 1, 300);
    orderAgain(2, 3, true);
    assertThat(versions.permille(SERVICE)).isEqualTo(300);
    assertThat(share(version(5), 8, 1_000)).isFalse();
    assertThat(share(new StoreVersion(2, 3), 2, 600)).isTrue();
    assertThat(versions.permille(SERVICE)).isEqualTo(600);
  }

  private boolean share(StoreVersion order, long step, int permille) {
    return versions.applyShare(
        new MoveShare(
            SERVICE, V2, order, step, permille, Optional.empty(), 900, MoveOrder.State.RUNNING));
  }

  private void orderAgain(long era, long number, boolean restoredLately) {
    StoreVersion rewritten = new StoreVersion(era, number);
    MoveOrder move = new MoveOrder(SERVICE, V2, rewritten, 16_000, MoveOrder.State.RUNNING);
    versions.updateOrders(
        new OperatorOrders(rewritten, Set.of(), List.of(move), Set.of()), restoredLately);
  }

  private static StoreVersion version(long number) {
    return new StoreVersion(1, number);
  }

  private void order(long version, VersionName to, long order, MoveOrder.State state) {
    MoveOrder move = new MoveOrder(SERVICE, to, version(order), 16_000, state);
    versions.updateOrders(
        new OperatorOrders(version(version), Set.of(), List.of(move), Set.of()), false);
  }
}
