package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.model.Configuration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Runs checks over a configuration and collects the violations.
 *
 * <p>There are two sets of checks. {@link #forApply()} depends on the configuration alone, so every
 * node reaches the same verdict and none refuses an accepted configuration. {@link
 * #forAcceptance()} adds rules that depend on the deciding node's view of the membership; they are
 * checked only before a configuration is accepted.
 *
 * <p>Example: {@code List<Violation> violations =
 * ConfigurationChecker.forApply().check(configuration, Set.of());}
 */
public final class ConfigurationChecker {
  private final Map<PartKind, List<ConfigurationCheck>> checks = new EnumMap<>(PartKind.class);

  /**
   * Creates a checker.
   *
   * @param checks the rules
   */
  public ConfigurationChecker(List<ConfigurationCheck> checks) {
    for (PartKind kind : PartKind.values()) {
      this.checks.put(kind, checks.stream().filter(c -> c.visitedKinds().contains(kind)).toList());
    }
  }

  /** Returns a checker with the rules that depend on the configuration alone. */
  public static ConfigurationChecker forApply() {
    return new ConfigurationChecker(configurationChecks());
  }

  /** Returns a checker with all rules. */
  public static ConfigurationChecker forAcceptance() {
    List<ConfigurationCheck> all = new ArrayList<>(configurationChecks());
    all.add(new LastDomainWithdrawnCheck());
    return new ConfigurationChecker(all);
  }

  private static List<ConfigurationCheck> configurationChecks() {
    return List.of(
        new ConfigurationSizeCheck(),
        new KeyMatchesNameCheck(),
        new VersionServiceExistsCheck(),
        new ActiveVersionUsableCheck(),
        new RouteServiceExistsCheck(),
        new PathPrefixCheck(),
        new DuplicatePathPrefixCheck(),
        new MoveVersionsUsableCheck(),
        new MoveDeadlineCheck(),
        new RestoreRampCheck());
  }

  /**
   * Checks a configuration.
   *
   * @param configuration the configuration
   * @param knownDomains the failure domains that have live members; empty when none are known
   * @return all violations, in the order of the parts; empty when there are none
   */
  public List<Violation> check(Configuration configuration, Set<FailureDomain> knownDomains) {
    ValidationContext context = new ValidationContext(configuration, knownDomains);
    List<Violation> violations = new ArrayList<>();
    parts(configuration)
        .forEach(
            part -> checks.get(part.kind()).forEach(c -> c.visit(part, context, violations::add)));
    return List.copyOf(violations);
  }

  private static Stream<ConfigurationPart> parts(Configuration configuration) {
    Stream.Builder<ConfigurationPart> parts = Stream.builder();
    parts.add(new ConfigurationPart.WholePart(configuration));
    configuration.services().forEach((k, v) -> parts.add(new ConfigurationPart.ServicePart(k, v)));
    configuration.versions().forEach((k, v) -> parts.add(new ConfigurationPart.VersionPart(k, v)));
    configuration.routes().forEach((k, v) -> parts.add(new ConfigurationPart.RoutePart(k, v)));
    configuration.moves().forEach((k, v) -> parts.add(new ConfigurationPart.MovePart(k, v)));
    configuration.domains().forEach((k, v) -> parts.add(new ConfigurationPart.DomainPart(k, v)));
    return parts.build();
  }
}
