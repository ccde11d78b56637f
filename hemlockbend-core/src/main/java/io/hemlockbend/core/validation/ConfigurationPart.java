package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.model.Move;
import io.hemlockbend.core.model.Route;
import io.hemlockbend.core.model.Service;
import io.hemlockbend.core.model.VersionState;

/** A part of a configuration, with the key that it is stored under. */
public sealed interface ConfigurationPart {
  /** Returns the kind of this part. */
  PartKind kind();

  /**
   * The whole configuration.
   *
   * @param configuration the configuration
   */
  record WholePart(Configuration configuration) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.WHOLE;
    }
  }

  /**
   * A service.
   *
   * @param key the key that it is stored under
   * @param service the service
   */
  record ServicePart(ServiceName key, Service service) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.SERVICE;
    }
  }

  /**
   * An upstream version.
   *
   * @param key the version
   * @param state whether it may take traffic
   */
  record VersionPart(VersionKey key, VersionState state) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.VERSION;
    }
  }

  /**
   * A route.
   *
   * @param key the key that it is stored under
   * @param route the route
   */
  record RoutePart(RouteName key, Route route) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.ROUTE;
    }
  }

  /**
   * A move in progress.
   *
   * @param key the key that it is stored under
   * @param move the move
   */
  record MovePart(ServiceName key, Move move) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.MOVE;
    }
  }

  /**
   * A failure domain that is withdrawn or being restored.
   *
   * @param key the failure domain
   * @param state its state
   */
  record DomainPart(FailureDomain key, DomainState state) implements ConfigurationPart {
    @Override
    public PartKind kind() {
      return PartKind.DOMAIN;
    }
  }
}
