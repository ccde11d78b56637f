package io.hemlockbend.core.distribution;

import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.util.List;
import java.util.Optional;

/** Verifies the version, digest and internal references of a received configuration. */
final class ConfigurationVerifier {
  private final ConfigurationDigester digester;

  ConfigurationVerifier(ConfigurationDigester digester) {
    this.digester = digester;
  }

  /** Returns why the configuration must not be applied; empty when it may. */
  Optional<String> fault(VersionMark mark, Configuration configuration) {
    if (!configuration.version().equals(mark.version())) {
      return Optional.of(
          "body has version " + configuration.version() + ", expected " + mark.version());
    }
    if (!digester.digest(configuration).equals(mark.digest())) {
      return Optional.of("body does not match its digest");
    }
    List<String> faults = ReferenceCheck.faults(configuration);
    return faults.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", faults));
  }
}
