package io.hemlockbend.testkit.trace;

import io.hemlockbend.codec.trace.TraceRecord;

/**
 * A record of a trace and its position.
 *
 * @param position the line
 * @param record the record on the line
 */
public record TraceLine(TracePosition position, TraceRecord record) {}
