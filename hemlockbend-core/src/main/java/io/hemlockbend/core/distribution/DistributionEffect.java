package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.message.Outbound;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;

/** An action that {@link Distributor} requests; results are passed back to its methods. */
public sealed interface DistributionEffect {

  /**
   * Sends a message.
   *
   * @param outbound the message and its receiver
   */
  record Send(Outbound outbound) implements DistributionEffect {}

  /** Reads the table's row of the configuration in force. */
  record ReadCurrent() implements DistributionEffect {}

  /**
   * Reads the table's history rows for a range of versions.
   *
   * @param after the version before the first, exclusive
   * @param last the last version, inclusive
   */
  record ReadHistory(ConfigurationVersion after, ConfigurationVersion last)
      implements DistributionEffect {}

  /**
   * Fetches a configuration from the object store.
   *
   * @param digest the digest under which it is stored
   */
  record FetchBody(Digest digest) implements DistributionEffect {}

  /**
   * Atomically replaces the configuration in force.
   *
   * @param mark the version and digest
   * @param configuration the new configuration
   */
  record Apply(VersionMark mark, Configuration configuration) implements DistributionEffect {}

  /**
   * Logs that a configuration was rejected; the one in force stays.
   *
   * @param mark the version and digest
   * @param reason why it was rejected
   */
  record Refused(VersionMark mark, String reason) implements DistributionEffect {}
}
