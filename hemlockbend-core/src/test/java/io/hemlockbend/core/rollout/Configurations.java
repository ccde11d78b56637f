package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/** Configurations of one service for tests of several packages. */
public final class Configurations {
  public static final ServiceName SERVICE = new ServiceName("service");
  public static final VersionKey OLD = new VersionKey(SERVICE, new VersionName("v1"));
  public static final VersionKey FRESH = new VersionKey(SERVICE, new VersionName("v2"));
  public static final long MOVE_MILLIS = 1_000_000;

  private Configurations() {}

  /** Returns the service with a move that starts at time zero with a share of zero. */
  public static Configuration started() {
    TeamName owner = new TeamName("team");
    return ChangeApplier.apply(
        Configuration.EMPTY,
        List.of(
            new Change.AddVersion(OLD, owner),
            new Change.AddVersion(FRESH, owner),
            new Change.StartMove(SERVICE, FRESH.version(), 0, MOVE_MILLIS)));
  }

  public static Configuration moving(int permille) {
    return with(started(), new Change.AdvanceMove(SERVICE, FRESH.version(), permille));
  }

  public static Configuration finished() {
    return with(moving(600), new Change.AdvanceMove(SERVICE, FRESH.version(), 1000));
  }

  public static Configuration with(Configuration base, Change change) {
    return ChangeApplier.apply(base, List.of(change));
  }
}
