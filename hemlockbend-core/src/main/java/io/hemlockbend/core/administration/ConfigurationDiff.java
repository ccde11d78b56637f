package io.hemlockbend.core.administration;

import io.hemlockbend.core.administration.AdminAnswer.DiffLine;
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

/** Names every part that differs between two configurations. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Compares two configurations.
   *
   * @param before the older one
   * @param after the newer one
   * @return a line for each part that differs, by kind and name
   */
  public static List<DiffLine> between(Configuration before, Configuration after) {
    return Stream.of(
            lines("service ", before.services(), after.services(), ConfigurationDiff::text),
            lines("version ", before.versions(), after.versions(), Object::toString),
            lines("route ", before.routes(), after.routes(), ConfigurationDiff::text),
            lines("move of ", before.moves(), after.moves(), ConfigurationDiff::text),
            lines("domain ", before.domains(), after.domains(), ConfigurationDiff::text))
        .flatMap(Function.identity())
        .toList();
  }

  private static <K extends Comparable<K>, V> Stream<DiffLine> lines(
      String kind, SortedMap<K, V> before, SortedMap<K, V> after, Function<V, String> text) {
    TreeSet<K> keys = new TreeSet<>(before.keySet());
    keys.addAll(after.keySet());
    return keys.stream()
        .filter(key -> !Optional.ofNullable(before.get(key)).equals(find(after, key)))
        .map(
            key ->
                new DiffLine(kind + key, find(before, key).map(text), find(after, key).map(text)));
  }

  private static <K, V> Optional<V> find(SortedMap<K, V> map, K key) {
    return Optional.ofNullable(map.get(key));
  }

  private static String text(Service service) {
    return "active " + service.active() + ", owner " + service.owner();
  }

  private static String text(Route route) {
    return route.pathPrefix() + " to " + route.service() + ", " + route.priority();
  }

  private static String text(Move move) {
    return move.from()
        + " to "
        + move.to()
        + ", "
        + move.sharePermille()
        + " permille, due at "
        + move.deadlineMillis()
        + " ms";
  }

  private static String text(DomainState state) {
    return switch (state) {
      case DomainState.Withdrawn withdrawn -> "withdrawn";
      case DomainState.Restoring restoring -> "restoring over " + restoring.rampMillis() + " ms";
    };
  }
}
