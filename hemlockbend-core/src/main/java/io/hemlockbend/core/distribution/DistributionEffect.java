package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;

/** What the distributor wants done; its results come back through the distributor's methods. */
public sealed interface DistributionEffect {

  /**
   * Send a message.
   *
   * @param outbound the message and its receiver
   */
  record Send(Outbound outbound) implements DistributionEffect {}

  /** Read the table's row of the configuration in force. */
  record ReadCurrent() implements DistributionEffect {}

  /**
   * Read the table's history rows of some versions.
   *
   * @param after the version before the first
   * @param last the last version
   */
  record ReadHistory(ConfigurationVersion after, ConfigurationVersion last)
      implements DistributionEffect {}

  /**
   * Fetch a configuration from the object store.
   *
   * @param digest names it
   */
  record FetchBody(Digest digest) implements DistributionEffect {}

  /**
   * Put a configuration in force, in place of the one before and in one step.
   *
   * @param mark its number and digest
   * @param configuration the configuration
   */
  record Apply(VersionMark mark, Configuration configuration) implements DistributionEffect {}

  /**
   * Log that a configuration was refused; the one in force stays.
   *
   * @param mark its number and digest
   * @param reason what was wrong
   */
  record Refused(VersionMark mark, String reason) implements DistributionEffect {}
}
