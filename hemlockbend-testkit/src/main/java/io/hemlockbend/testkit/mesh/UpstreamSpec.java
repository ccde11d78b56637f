package io.hemlockbend.testkit.mesh;

/**
 * An upstream of an embedded mesh and where it stands.
 *
 * @param name names the upstream and the node beside it
 * @param domain the failure domain of both
 * @param service the upstream's service
 * @param version the upstream's version
 * @param slots how many requests it serves at once
 * @param serviceMillis how long a request takes
 */
public record UpstreamSpec(
    String name, String domain, String service, String version, int slots, long serviceMillis) {}
