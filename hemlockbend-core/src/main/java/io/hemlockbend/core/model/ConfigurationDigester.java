package io.hemlockbend.core.model;

import io.hemlockbend.core.api.Digest;

/** Computes the digest of a configuration's canonical form. */
@FunctionalInterface
public interface ConfigurationDigester {
  /**
   * Returns the digest.
   *
   * @param configuration the configuration
   */
  Digest digest(Configuration configuration);
}
