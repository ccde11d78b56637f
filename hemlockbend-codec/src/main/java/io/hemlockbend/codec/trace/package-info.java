/**
 * The lines of a recorded trace: what callers saw, what upstreams ran, what nodes decided. A trace
 * is a file of JSON lines; its first line is a {@link io.hemlockbend.codec.trace.TraceHeader}, each
 * other line a {@link io.hemlockbend.codec.trace.TraceRecord}.
 */
package io.hemlockbend.codec.trace;
