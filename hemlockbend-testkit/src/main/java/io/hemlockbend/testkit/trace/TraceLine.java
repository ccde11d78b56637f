package io.hemlockbend.testkit.trace;

import io.hemlockbend.codec.trace.TraceRecord;

/**
 * A record and where it stands.
 *
 * @param position the line
 * @param record what it holds
 */
public record TraceLine(TracePosition position, TraceRecord record) {}
