package io.hemlockbend.core.traffic;

import io.hemlockbend.core.api.UpstreamId;

/**
 * Identifies a process of an upstream. An upstream may start again under the id that it had.
 *
 * @param id the upstream
 * @param startedMillis start time of the process, milliseconds since the epoch
 */
public record UpstreamProcess(UpstreamId id, long startedMillis) {}
