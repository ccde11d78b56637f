package io.hemlockbend.testkit.mesh;

/**
 * An upstream of an embedded mesh and its location.
 *
 * @param name the id of the upstream; that of the node beside it has the prefix "node-"
 * @param domain the failure domain of both
 * @param service the upstream's service
 * @param version the upstream's version
 * @param slots maximum number of concurrent requests
 * @param serviceMillis service time of a request
 */
public record UpstreamSpec(
    String name, String domain, String service, String version, int slots, long serviceMillis) {}
