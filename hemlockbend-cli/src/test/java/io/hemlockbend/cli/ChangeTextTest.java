package io.hemlockbend.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeTextTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionName V2 = new VersionName("v2");

  @Test
  void changesReadLikeCommands() {
    List<Change> changes =
        List.of(
            new Change.StartMove(QUOTES, V2, 0, 60_000),
            new Change.AdvanceMove(QUOTES, V2, 15),
            new Change.TakeBack(new VersionKey(QUOTES, V2), new VersionName("v1")),
            new Change.Restore(new FailureDomain("sfax"), 0, 5_000));
    assertThat(ChangeText.of(changes))
        .isEqualTo(
            "move quotes to v2 by 1970-01-01T00:01:00Z; quotes: 1.5 % to v2; take back quotes/v2,"
                + " v1 takes its place; restore sfax over PT5S");
  }
}
