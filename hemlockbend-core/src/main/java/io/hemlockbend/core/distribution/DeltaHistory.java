package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.model.Change;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The change lists of the last consecutive versions, from which pulls are answered. */
final class DeltaHistory {
  private final int limit;
  private final Deque<List<Change>> steps = new ArrayDeque<>();
  private ConfigurationVersion newest = ConfigurationVersion.NONE;

  DeltaHistory(int limit) {
    this.limit = limit;
  }

  /** Adds the change lists between two versions; a gap discards all earlier ones. */
  void add(ConfigurationVersion base, ConfigurationVersion result, List<List<Change>> changes) {
    if (result.value() - base.value() != changes.size()) {
      reset(result);
      return;
    }
    if (!base.equals(newest)) {
      steps.clear();
    }
    changes.forEach(step -> steps.addLast(List.copyOf(step)));
    newest = result;
    while (steps.size() > limit) {
      steps.removeFirst();
    }
  }

  /** Discards all steps; the next one must start from this version. */
  void reset(ConfigurationVersion version) {
    steps.clear();
    newest = version;
  }

  /** Returns the steps from a version to the newest; empty when some are missing or none follow. */
  Optional<List<List<Change>>> since(ConfigurationVersion base) {
    long missing = newest.value() - base.value();
    if (missing < 1 || missing > steps.size()) {
      return Optional.empty();
    }
    List<List<Change>> all = new ArrayList<>(steps);
    return Optional.of(all.subList(all.size() - (int) missing, all.size()));
  }
}
