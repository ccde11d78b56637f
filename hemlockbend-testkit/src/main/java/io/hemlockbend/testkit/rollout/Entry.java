package io.hemlockbend.testkit.rollout;

import io.hemlockbend.core.brake.BrakeSet;
import io.hemlockbend.core.model.Configuration;

/** The state of the entries of one failure domain: configuration and brakes in force. */
final class Entry {
  final int domain;
  Configuration configuration;
  BrakeSet brakes = BrakeSet.EMPTY;

  Entry(int domain, Configuration configuration) {
    this.domain = domain;
    this.configuration = configuration;
  }

  void apply(Configuration next) {
    if (next.version().newerThan(configuration.version())) {
      configuration = next;
    }
  }
}
