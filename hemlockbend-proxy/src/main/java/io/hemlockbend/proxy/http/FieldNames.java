package io.hemlockbend.proxy.http;

/**
 * The header fields that the platform gives a meaning.
 *
 * @param requestId names a request in it and in its answer
 * @param deadline how many milliseconds the caller waits
 * @param seal marks an upstream's own answer; handed through unchanged
 * @param expectedUpstream the upstream that a request is for; any other one refuses it
 * @param notRun marks an upstream's answer to a request that it did not run
 * @param callerService the service beside which a request began
 * @param upstreamId the upstream that answers a health check
 * @param coldMillis how long the upstream that answers a health check stays cold
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
