package io.hemlockbend.core.brake;

import static io.hemlockbend.core.rollout.Configurations.FRESH;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.rollout.Configurations;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class BrakeSetProperties {
  private static VersionKey key(int index) {
    return new VersionKey(new ServiceName("service"), new VersionName("v" + index));
  }

  private static BrakeSet added(BrakeSet set, VersionKey key, int version) {
    Change change = new Change.AddVersion(key, new TeamName("team"));
    return set.afterChanges(new ConfigurationVersion(version), List.of(change));
  }

  @Provide
  Arbitrary<Brake> brakes() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 3),
            Arbitraries.integers().between(1, 5),
            Arbitraries.of("fails", "slow"))
        .as(
            (key, version, reason) ->
                new Brake(key(key), new ConfigurationVersion(version), reason));
  }

  @Provide
  Arbitrary<BrakeSet> sets() {
    Arbitrary<BrakeSet> braked = brakes().list().ofMaxSize(4).map(BrakeSet.EMPTY::withAll);
    Arbitrary<Integer> keys = Arbitraries.integers().between(1, 3);
    Arbitrary<Integer> versions = Arbitraries.integers().between(1, 5);
    return Combinators.combine(braked, keys, versions)
        .as((set, key, version) -> added(set, key(key), version));
  }

  @Property(seed = "1")
  void mergeIsCommutative(@ForAll("sets") BrakeSet left, @ForAll("sets") BrakeSet right) {
    assertThat(left.merge(right)).isEqualTo(right.merge(left));
  }

  @Property(seed = "2")
  void mergeIsAssociative(
      @ForAll("sets") BrakeSet first,
      @ForAll("sets") BrakeSet second,
      @ForAll("sets") BrakeSet third) {
    assertThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)));
  }

  @Property(seed = "3")
  void mergeIsIdempotent(@ForAll("sets") BrakeSet set) {
    assertThat(set.merge(set)).isEqualTo(set);
  }

  @Property(seed = "4")
  void brakesOnlyTighten(@ForAll("sets") BrakeSet set, @ForAll("brakes") Brake brake) {
    BrakeSet after = set.with(brake);
    set.active().forEach(active -> assertThat(after.blocks(active.key())).isTrue());
  }

  @Property(seed = "5")
  void onlyNewerConfigurationThatAddsTheVersionLiftsItsBrake(@ForAll("brakes") Brake brake) {
    int version = (int) brake.configuration().value();
    BrakeSet set = BrakeSet.EMPTY.with(brake);
    assertThat(added(set, brake.key(), version).blocks(brake.key())).isTrue();
    assertThat(added(set, key(9), version + 1).blocks(brake.key())).isTrue();
    BrakeSet lifted = added(set, brake.key(), version + 1);
    assertThat(lifted.blocks(brake.key())).isFalse();
    assertThat(lifted.merge(set).blocks(brake.key())).as("an old brake arrives late").isFalse();
    assertThat(lifted.retain(known -> true).active()).isEmpty();
    Brake anew = new Brake(brake.key(), new ConfigurationVersion(version + 1), "bad again");
    assertThat(lifted.with(anew).blocks(brake.key())).isTrue();
  }

  @Example
  void brakeOnTakenBackVersionIsLifted() {
    Configuration moving = Configurations.moving(10);
    BrakeSet set = BrakeSet.EMPTY.with(new Brake(FRESH, moving.version(), "fails"));
    assertThat(set.afterConfiguration(Configurations.moving(30)).blocks(FRESH)).isTrue();
    Configuration takenBack = Configurations.with(moving, new Change.TakeBack(FRESH, null));
    BrakeSet lifted = set.afterConfiguration(takenBack);
    assertThat(lifted.active()).isEmpty();
    assertThat(lifted.merge(set).blocks(FRESH)).isFalse();
    assertThat(lifted.with(new Brake(FRESH, takenBack.version(), "bad")).blocks(FRESH)).isTrue();
  }
}
