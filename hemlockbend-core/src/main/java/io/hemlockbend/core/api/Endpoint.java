package io.hemlockbend.core.api;

/**
 * An upstream as its node announces it to the mesh.
 *
 * @param upstream the upstream
 * @param start identifies the start of the upstream's process, so that a restart is detected
 * @param key the service and version that it serves
 * @param state whether it takes new requests
 * @param slots how many requests it runs concurrently when warm, at least 1
 */
public record Endpoint(
    UpstreamId upstream, StartId start, VersionKey key, EndpointState state, int slots) {

  /**
   * Validates the slots.
   *
   * @throws IllegalArgumentException when {@code slots} is less than 1
   */
  public Endpoint {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1, got " + slots);
    }
  }
}
