package io.hemlockbend.proxy.http;

/**
 * The names of the header fields that the platform defines.
 *
 * @param requestId the id of the request, in the request and in its answer
 * @param deadline how long the caller waits, in milliseconds
 * @param seal marks an answer as the upstream's own; forwarded unchanged
 * @param expectedUpstream the id of the upstream that must run the request; others refuse it
 * @param notRun marks an upstream's answer to a request that it did not run
 * @param callerService the service beside which the request entered the mesh
 * @param upstreamId the id of the upstream, in the answer to a health check
 * @param coldMillis how long the upstream stays cold, in the answer to a health check
 */
public record FieldNames(
    String requestId,
    String deadline,
    String seal,
    String expectedUpstream,
    String notRun,
    String callerService,
    String upstreamId,
    String coldMillis) {}
