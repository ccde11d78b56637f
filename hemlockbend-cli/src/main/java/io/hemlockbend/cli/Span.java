package io.hemlockbend.cli;

/**
 * A duration given by flag.
 *
 * @param millis milliseconds
 */
record Span(long millis) {}
