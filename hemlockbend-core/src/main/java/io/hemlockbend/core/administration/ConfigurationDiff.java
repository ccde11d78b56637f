package io.hemlockbend.core.administration;

import io.hemlockbend.core.administration.AdminResponse.DiffLine;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;

/** Lists the parts that differ between two configurations. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Compares two configurations.
   *
   * @param before the older one
   * @param after the newer one
   * @return a line for each part that differs, ordered by kind and name
   */
  public static List<DiffLine> between(Configuration before, Configuration after) {
    return Stream.of(
            lines("service ", before.services(), after.services(), ConfigurationDiff::describe),
            lines("version ", before.versions(), after.versions(), Object::toString),
            lines("route ", before.routes(), after.routes(), ConfigurationDiff::describe),
            lines("move of ", before.moves(), after.moves(), ConfigurationDiff::describe),
            lines("domain ", before.domains(), after.domains(), ConfigurationDiff::describe))
        .flatMap(Function.identity())
        .toList();
  }

  private static <K extends Comparable<K>, V> Stream<DiffLine> lines(
      String prefix, SortedMap<K, V> before, SortedMap<K, V> after, Function<V, String> describe) {
    TreeSet<K> keys = new TreeSet<>(before.keySet());
    keys.addAll(after.keySet());
    return keys.stream()
        .filter(key -> !Optional.ofNullable(before.get(key)).equals(find(after, key)))
        .map(
            key ->
                new DiffLine(
                    prefix + key, find(before, key).map(describe), find(after, key).map(describe)));
  }

  private static <K, V> Optional<V> find(SortedMap<K, V> map, K key) {
    return Optional.ofNullable(map.get(key));
  }

  private static String describe(Service service) {
    return "active " + service.active() + ", owner " + service.owner();
  }

  private static String describe(Route route) {
    return route.pathPrefix() + " to " + route.service() + ", " + route.priority();
  }

  private static String describe(Move move) {
    return move.from()
        + " to "
        + move.to()
        + ", "
        + move.sharePermille()
        + " permille, due at "
        + move.deadlineMillis()
        + " ms";
  }

  private static String describe(DomainState state) {
    return switch (state) {
      case DomainState.Withdrawn withdrawn -> "withdrawn";
      case DomainState.Restoring restoring -> "restoring over " + restoring.rampMillis() + " ms";
    };
  }
}
