package io.hemlockbend.core.api;

/**
 * An upstream as its node announces it to the mesh.
 *
 * @param upstream the upstream
 * @param start which start of the upstream's process this is
 * @param key the service and version that it answers for
 * @param state whether it takes new work
 * @param slots how many requests it runs at once when warm
 */
public record Endpoint(
    UpstreamId upstream, StartId start, VersionKey key, EndpointState state, int slots) {

  /**
   * Validates the slots.
   *
   * @throws IllegalArgumentException when there is no slot
   */
  public Endpoint {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1, got " + slots);
    }
  }
}
