package io.hemlockbend.node.control;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.VersionState;
import java.util.List;
import java.util.Map;

/** Finds the versions that an operator made usable again after they were taken back. */
final class Readded {

  private Readded() {}

  static List<Change> between(Configuration before, Configuration after) {
    return before.versions().entrySet().stream()
        .filter(entry -> entry.getValue() == VersionState.TAKEN_BACK)
        .map(Map.Entry::getKey)
        .filter(after::usable)
        .map(key -> addition(key, after))
        .toList();
  }

  private static Change addition(VersionKey key, Configuration after) {
    return new Change.AddVersion(key, after.services().get(key.service()).owner());
  }
}
