package io.hemlockbend.core.brake;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.message.PeerMessage.Brake;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.VersionState;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Immutable set of the brakes known to a node. Merging takes the union and is commutative,
 * associative and idempotent, so updates may arrive in any order and repeatedly.
 *
 * <p>A brake is lifted only when a configuration newer than the one it was set under adds the
 * version again, which only an operator's commit does. The set records for each version the newest
 * configuration that added it, or that marks it as taken back and so replaces the brake. Older
 * brakes on the version have no effect, however late they arrive.
 */
public final class BrakeSet {
  /** No brakes. */
  public static final BrakeSet EMPTY = new BrakeSet(new TreeMap<>(), new TreeMap<>());

  private static final Comparator<Brake> STRENGTH =
      Comparator.comparing(Brake::configuration)
          .thenComparing(Brake::reason, Comparator.reverseOrder());

  private final SortedMap<VersionKey, Brake> brakes;
  private final SortedMap<VersionKey, ConfigurationVersion> liftedAt;

  private BrakeSet(
      SortedMap<VersionKey, Brake> brakes, SortedMap<VersionKey, ConfigurationVersion> liftedAt) {
    this.brakes = brakes;
    this.liftedAt = liftedAt;
  }

  /** Returns this set with one more brake. */
  public BrakeSet with(Brake brake) {
    return withAll(List.of(brake));
  }

  /** Returns this set with more brakes, such as those of a message. */
  public BrakeSet withAll(List<Brake> more) {
    if (more.isEmpty()) {
      return this;
    }
    SortedMap<VersionKey, Brake> merged = new TreeMap<>(brakes);
    more.forEach(brake -> merged.merge(brake.key(), brake, BrakeSet::stronger));
    return new BrakeSet(merged, liftedAt);
  }

  /** Returns the union of both sets. */
  public BrakeSet merge(BrakeSet other) {
    SortedMap<VersionKey, ConfigurationVersion> merged = new TreeMap<>(liftedAt);
    other.liftedAt.forEach((key, version) -> merged.merge(key, version, BrakeSet::newer));
    return new BrakeSet(brakes, merged).withAll(List.copyOf(other.brakes.values()));
  }

  /**
   * Returns the set after a configuration was applied: brakes set earlier on versions that it adds
   * are lifted. A node that skipped configurations has to apply their changes too, from the history
   * rows; until then the brakes stay in effect, which is the safe side.
   *
   * @param version the configuration version that the changes produced
   * @param changes its changes
   */
  public BrakeSet afterChanges(ConfigurationVersion version, List<Change> changes) {
    SortedMap<VersionKey, ConfigurationVersion> after = new TreeMap<>(liftedAt);
    for (Change change : changes) {
      if (change instanceof Change.AddVersion add) {
        after.merge(add.key(), version, BrakeSet::newer);
      }
    }
    return new BrakeSet(brakes, after);
  }

  /**
   * Returns the set after a configuration was applied, without its changes: brakes on versions that
   * it marks as taken back are lifted, since the configuration itself gives these versions no
   * traffic until a newer one adds them again.
   *
   * @param configuration the configuration now in force on this node
   */
  public BrakeSet afterConfiguration(Configuration configuration) {
    SortedMap<VersionKey, ConfigurationVersion> after = new TreeMap<>(liftedAt);
    for (VersionKey key : brakes.keySet()) {
      if (configuration.versions().get(key) == VersionState.TAKEN_BACK) {
        after.merge(key, configuration.version(), BrakeSet::newer);
      }
    }
    return new BrakeSet(brakes, after);
  }

  /** Returns whether the version must take no traffic. */
  public boolean blocks(VersionKey key) {
    Brake brake = brakes.get(key);
    return brake != null && isActive(brake);
  }

  /** Returns the brakes in effect, to be gossiped and made durable. */
  public List<Brake> active() {
    return brakes.values().stream().filter(this::isActive).toList();
  }

  /** Returns the set without lifted brakes and without versions that the predicate rejects. */
  public BrakeSet retain(Predicate<VersionKey> known) {
    SortedMap<VersionKey, Brake> kept = new TreeMap<>(brakes);
    kept.values().removeIf(brake -> !isActive(brake) || !known.test(brake.key()));
    SortedMap<VersionKey, ConfigurationVersion> keptLiftedAt = new TreeMap<>(liftedAt);
    keptLiftedAt.keySet().removeIf(key -> !known.test(key));
    return new BrakeSet(kept, keptLiftedAt);
  }

  private boolean isActive(Brake brake) {
    return !liftedAt
        .getOrDefault(brake.key(), ConfigurationVersion.NONE)
        .newerThan(brake.configuration());
  }

  private static Brake stronger(Brake left, Brake right) {
    return STRENGTH.compare(left, right) >= 0 ? left : right;
  }

  private static ConfigurationVersion newer(ConfigurationVersion left, ConfigurationVersion right) {
    return left.newerThan(right) ? left : right;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof BrakeSet set
        && brakes.equals(set.brakes)
        && liftedAt.equals(set.liftedAt);
  }

  @Override
  public int hashCode() {
    return 31 * brakes.hashCode() + liftedAt.hashCode();
  }

  @Override
  public String toString() {
    return active().toString();
  }

  /** Returns the brake in effect of each version. */
  public Map<VersionKey, Brake> byVersion() {
    SortedMap<VersionKey, Brake> byVersion = new TreeMap<>();
    active().forEach(brake -> byVersion.put(brake.key(), brake));
    return byVersion;
  }
}
