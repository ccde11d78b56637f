package io.hemlockbend.cli;

/**
 * A duration given by flag.
 *
 * @param millis milliseconds
 */
record TimeSpan(long millis) {}
