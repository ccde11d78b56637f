package io.hemlockbend.cli;

/**
 * A length of time.
 *
 * @param millis milliseconds
 */
record Span(long millis) {}
