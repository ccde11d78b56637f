package io.hemlockbend.platform;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store, which holds configurations under their digests. Futures fail with
 * {@link PlatformException}.
 */
public interface ObjectStore {
  /**
   * Stores a configuration; idempotent, since the name is the digest.
   *
   * @param digest the configuration's digest
   * @param configuration the configuration
   */
  CompletableFuture<Void> put(Digest digest, Configuration configuration);

  /**
   * Fetches a configuration and checks it against its digest.
   *
   * @param digest the digest
   * @return the configuration, or empty when the store does not have it
   */
  CompletableFuture<Optional<Configuration>> fetch(Digest digest);
}
