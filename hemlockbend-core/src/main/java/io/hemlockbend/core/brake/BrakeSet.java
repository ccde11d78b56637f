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
 * The brakes that a node knows; immutable. Merging takes the union, so that the order, the grouping
 * and the repetition of what arrives do not matter.
 *
 * <p>A brake lapses in one way: a configuration newer than the one that it was set under adds the
 * version anew, which only an operator's commit does. The set remembers, for each version, the
 * newest configuration that did, or that holds the version as taken back and so takes the brake's
 * place; older brakes on the version do not bind, however late they arrive.
 */
public final class BrakeSet {
  /** No brakes. */
  public static final BrakeSet EMPTY = new BrakeSet(new TreeMap<>(), new TreeMap<>());

  private static final Comparator<Brake> STRENGTH =
      Comparator.comparing(Brake::configuration)
          .thenComparing(Brake::reason, Comparator.reverseOrder());

  private final SortedMap<VersionKey, Brake> brakes;
  private final SortedMap<VersionKey, ConfigurationVersion> added;

  private BrakeSet(
      SortedMap<VersionKey, Brake> brakes, SortedMap<VersionKey, ConfigurationVersion> added) {
    this.brakes = brakes;
    this.added = added;
  }

  /** Returns this set with one more brake. */
  public BrakeSet with(Brake brake) {
    return withAll(List.of(brake));
  }

  /** Returns this set with more brakes, such as a message brings. */
  public BrakeSet withAll(List<Brake> more) {
    if (more.isEmpty()) {
      return this;
    }
    SortedMap<VersionKey, Brake> merged = new TreeMap<>(brakes);
    more.forEach(brake -> merged.merge(brake.key(), brake, BrakeSet::stronger));
    return new BrakeSet(merged, added);
  }

  /** Returns the union of both sets. */
  public BrakeSet merge(BrakeSet other) {
    SortedMap<VersionKey, ConfigurationVersion> merged = new TreeMap<>(added);
    other.added.forEach((key, version) -> merged.merge(key, version, BrakeSet::newer));
    return new BrakeSet(brakes, merged).withAll(List.copyOf(other.brakes.values()));
  }

  /**
   * Returns the set after a configuration was applied: each version that it adds anew is free of
   * the brakes set before. A node that jumped over configurations has to hand in the changes of
   * those too, from the history rows; until then its brakes go on binding, which is the safe side.
   *
   * @param version the configuration that the changes made
   * @param changes its changes
   */
  public BrakeSet afterChanges(ConfigurationVersion version, List<Change> changes) {
    SortedMap<VersionKey, ConfigurationVersion> after = new TreeMap<>(added);
    for (Change change : changes) {
      if (change instanceof Change.AddVersion add) {
        after.merge(add.key(), version, BrakeSet::newer);
      }
    }
    return new BrakeSet(brakes, after);
  }

  /**
   * Returns the set after a configuration was applied, without its changes: brakes on versions that
   * it holds as taken back are settled, since the configuration itself keeps their traffic away and
   * only a newer one that adds them anew can give it back.
   *
   * @param configuration the configuration now in force on this node
   */
  public BrakeSet afterConfiguration(Configuration configuration) {
    SortedMap<VersionKey, ConfigurationVersion> after = new TreeMap<>(added);
    for (VersionKey key : brakes.keySet()) {
      if (configuration.versions().get(key) == VersionState.TAKEN_BACK) {
        after.merge(key, configuration.version(), BrakeSet::newer);
      }
    }
    return new BrakeSet(brakes, after);
  }

  /** Returns whether the version must take no traffic. */
  public boolean binds(VersionKey key) {
    Brake brake = brakes.get(key);
    return brake != null && outlasts(brake);
  }

  /** Returns the brakes that bind, to be spread and to be made durable. */
  public List<Brake> binding() {
    return brakes.values().stream().filter(this::outlasts).toList();
  }

  /** Returns the set without what no longer binds and without versions that are gone. */
  public BrakeSet retain(Predicate<VersionKey> known) {
    SortedMap<VersionKey, Brake> kept = new TreeMap<>(brakes);
    kept.values().removeIf(brake -> !outlasts(brake) || !known.test(brake.key()));
    SortedMap<VersionKey, ConfigurationVersion> keptAdded = new TreeMap<>(added);
    keptAdded.keySet().removeIf(key -> !known.test(key));
    return new BrakeSet(kept, keptAdded);
  }

  private boolean outlasts(Brake brake) {
    return !added
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
    return other instanceof BrakeSet set && brakes.equals(set.brakes) && added.equals(set.added);
  }

  @Override
  public int hashCode() {
    return 31 * brakes.hashCode() + added.hashCode();
  }

  @Override
  public String toString() {
    return binding().toString();
  }

  /** Returns the binding brake of each version. */
  public Map<VersionKey, Brake> byVersion() {
    SortedMap<VersionKey, Brake> binding = new TreeMap<>();
    binding().forEach(brake -> binding.put(brake.key(), brake));
    return binding;
  }
}
