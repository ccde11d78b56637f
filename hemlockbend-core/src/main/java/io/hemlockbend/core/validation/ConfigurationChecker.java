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
 * Runs checks over a configuration and collects what they find.
 *
 * <p>There are two sets of checks. {@link #forApply()} looks at nothing but the configuration, so
 * every node comes to the same verdict and none refuses what was accepted. {@link #forAcceptance()}
 * adds rules that depend on the membership as the deciding node sees it; they hold only before the
 * acceptance.
 *
 * <p>Example: {@code List<Violation> faults = ConfigurationChecker.forApply().check(configuration,
 * Set.of());}
 */
public final class ConfigurationChecker {
  private final Map<PartKind, List<ConfigurationCheck>> checks = new EnumMap<>(PartKind.class);

  /**
   * Makes a checker.
   *
   * @param checks the rules
   */
  public ConfigurationChecker(List<ConfigurationCheck> checks) {
    for (PartKind kind : PartKind.values()) {
      this.checks.put(kind, checks.stream().filter(c -> c.wantedKinds().contains(kind)).toList());
    }
  }

  /** Returns a checker of the rules that concern the configuration alone. */
  public static ConfigurationChecker forApply() {
    return new ConfigurationChecker(rulesOfTheConfiguration());
  }

  /** Returns a checker of all rules. */
  public static ConfigurationChecker forAcceptance() {
    List<ConfigurationCheck> all = new ArrayList<>(rulesOfTheConfiguration());
    all.add(new LastDomainWithdrawnCheck());
    return new ConfigurationChecker(all);
  }

  private static List<ConfigurationCheck> rulesOfTheConfiguration() {
    return List.of(
        new ConfigurationSizeCheck(),
        new FiledNameCheck(),
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
   * @return every violation, in the order of the parts; empty when there is none
   */
  public List<Violation> check(Configuration configuration, Set<FailureDomain> knownDomains) {
    ValidationContext context = new ValidationContext(configuration, knownDomains);
    List<Violation> found = new ArrayList<>();
    parts(configuration)
        .forEach(part -> checks.get(part.kind()).forEach(c -> c.visit(part, context, found::add)));
    return List.copyOf(found);
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
