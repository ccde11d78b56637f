package io.hemlockbend.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeApplierTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionName V1 = new VersionName("v1");
  private static final VersionName V2 = new VersionName("v2");
  private static final TeamName TEAM = new TeamName("tableaux");
  private static final Configuration TWO_VERSIONS =
      ChangeApplier.apply(
          Configuration.EMPTY,
          List.of(
              new Change.AddVersion(new VersionKey(QUOTES, V1), TEAM),
              new Change.AddVersion(new VersionKey(QUOTES, V2), TEAM)));

  @Test
  void firstVersionOfAServiceBecomesActive() {
    assertThat(TWO_VERSIONS.services().get(QUOTES).active()).isEqualTo(V1);
    assertThat(TWO_VERSIONS.version().value()).isEqualTo(1);
  }

  @Test
  void fullShareCompletesTheMove() {
    Configuration moving =
        ChangeApplier.apply(TWO_VERSIONS, List.of(new Change.StartMove(QUOTES, V2, 10, 20)));
    Configuration completed =
        ChangeApplier.apply(moving, List.of(new Change.AdvanceMove(QUOTES, V2, 1000)));
    assertThat(moving.moves().get(QUOTES).sharePermille()).isZero();
    assertThat(completed.moves()).isEmpty();
    assertThat(completed.services().get(QUOTES).active()).isEqualTo(V2);
  }

  @Test
  void takeBackCancelsTheMove() {
    Configuration moving =
        ChangeApplier.apply(TWO_VERSIONS, List.of(new Change.StartMove(QUOTES, V2, 10, 20)));
    Configuration takenBack =
        ChangeApplier.apply(moving, List.of(new Change.TakeBack(new VersionKey(QUOTES, V2), null)));
    assertThat(takenBack.moves()).isEmpty();
    assertThat(takenBack.usable(new VersionKey(QUOTES, V2))).isFalse();
  }

  @Test
  void activeVersionIsTakenBackOnlyWithAReplacement() {
    Change.TakeBack withoutReplacement = new Change.TakeBack(new VersionKey(QUOTES, V1), null);
    assertThatThrownBy(() -> ChangeApplier.apply(TWO_VERSIONS, List.of(withoutReplacement)))
        .isInstanceOf(ChangeException.class)
        .hasMessageContaining("quotes/v1 is active");
  }

  @Test
  void restoreRequiresAWithdrawal() {
    Change.Restore restore = new Change.Restore(new FailureDomain("tunis"), 0, 1000);
    assertThatThrownBy(() -> ChangeApplier.apply(TWO_VERSIONS, List.of(restore)))
        .isInstanceOf(ChangeException.class);
  }
}
