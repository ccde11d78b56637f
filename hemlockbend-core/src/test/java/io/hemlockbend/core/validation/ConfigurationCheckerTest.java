package io.hemlockbend.core.validation;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.model.VersionState;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationCheckerTest {
  private static final ServiceName QUOTES = new ServiceName("quotes");
  private static final VersionName V1 = new VersionName("v1");
  private static final VersionName V2 = new VersionName("v2");
  private static final FailureDomain TUNIS = new FailureDomain("tunis");
  private static final FailureDomain SFAX = new FailureDomain("sfax");

  private final TreeMap<ServiceName, Service> services = new TreeMap<>();
  private final TreeMap<VersionKey, VersionState> versions = new TreeMap<>();
  private final TreeMap<RouteName, Route> routes = new TreeMap<>();
  private final TreeMap<ServiceName, Move> moves = new TreeMap<>();
  private final TreeMap<FailureDomain, DomainState> domains = new TreeMap<>();

  ConfigurationCheckerTest() {
    services.put(QUOTES, new Service(QUOTES, new TeamName("t"), V1));
    versions.put(new VersionKey(QUOTES, V1), VersionState.USABLE);
    versions.put(new VersionKey(QUOTES, V2), VersionState.USABLE);
    putRoute("quotes", "/quotes");
    moves.put(QUOTES, new Move(QUOTES, V1, V2, 10, 20, 0));
  }

  private void putRoute(String name, String path) {
    RouteName key = new RouteName(name);
    routes.put(key, new Route(key, path, QUOTES, Priority.NORMAL));
  }

  private List<ViolationKey> check(ConfigurationChecker checker, FailureDomain... known) {
    Configuration configuration =
        new Configuration(new ConfigurationVersion(1), services, versions, routes, moves, domains);
    return checker.check(configuration, Set.of(known)).stream().map(Violation::key).toList();
  }

  private List<ViolationKey> check() {
    return check(ConfigurationChecker.forApply());
  }

  @Test
  void validConfigurationHasNoViolation() {
    assertThat(check(ConfigurationChecker.forAcceptance(), TUNIS)).isEmpty();
  }

  @Test
  void missingServiceIsReportedForRoutesAndVersions() {
    services.clear();
    assertThat(check())
        .containsExactly(
            ViolationKey.VERSION_SERVICE_MISSING,
            ViolationKey.VERSION_SERVICE_MISSING,
            ViolationKey.ROUTE_SERVICE_MISSING);
  }

  @Test
  void versionsInUseMustBeUsable() {
    versions.put(new VersionKey(QUOTES, V1), VersionState.TAKEN_BACK);
    versions.remove(new VersionKey(QUOTES, V2));
    assertThat(check())
        .containsExactly(
            ViolationKey.ACTIVE_VERSION_UNUSABLE,
            ViolationKey.MOVE_VERSION_UNUSABLE,
            ViolationKey.MOVE_VERSION_UNUSABLE);
  }

  @Test
  void moveGoesFromTheActiveVersionWithinBounds() {
    moves.put(QUOTES, new Move(QUOTES, V2, V1, 20, 20, 0));
    assertThat(check())
        .containsExactly(
            ViolationKey.MOVE_NOT_FROM_ACTIVE, ViolationKey.MOVE_DEADLINE_OUT_OF_RANGE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"quotes", "/a//b", "/a/../b", "/a/.", "/a?b", "/a%2e", "/a b", ""})
  void malformedPathPrefixIsRefused(String path) {
    putRoute("quotes", path);
    assertThat(check()).containsExactly(ViolationKey.PATH_PREFIX_MALFORMED);
  }

  @Test
  void duplicatePathPrefixIsRefused() {
    putRoute("a", "/same");
    putRoute("b", "/same/");
    assertThat(check()).containsExactly(ViolationKey.PATH_PREFIX_TWICE);
  }

  @Test
  void minimumOfDomainsInUseIsCheckedAtAcceptanceOnly() {
    domains.put(TUNIS, new DomainState.Withdrawn(1));
    assertThat(check(ConfigurationChecker.forAcceptance(), TUNIS, SFAX)).isEmpty();
    domains.put(SFAX, new DomainState.Withdrawn(1));
    assertThat(check(ConfigurationChecker.forAcceptance(), TUNIS, SFAX))
        .containsExactly(ViolationKey.TOO_FEW_DOMAINS_LEFT);
    assertThat(check()).isEmpty();
  }

  @Test
  void restoreRampNamesAndSizesAreChecked() {
    domains.put(TUNIS, new DomainState.Restoring(1, 0));
    routes.put(new RouteName("other"), new Route(new RouteName("x"), "/x", QUOTES, Priority.BULK));
    assertThat(check())
        .containsExactly(
            ViolationKey.FILED_UNDER_OTHER_NAME, ViolationKey.RESTORE_RAMP_OUT_OF_RANGE);
    ConfigurationChecker small = new ConfigurationChecker(List.of(new ConfigurationSizeCheck(1)));
    assertThat(check(small))
        .containsExactly(ViolationKey.TOO_MANY_PARTS, ViolationKey.TOO_MANY_PARTS);
  }

  @Test
  void messageNamesSubjectAndArguments() {
    assertThat(Violation.of(ViolationKey.ROUTE_SERVICE_MISSING, "route a", "b").message())
        .isEqualTo("route a points at service b, which does not exist");
  }
}
