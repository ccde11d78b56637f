package io.hemlockbend.proxy.mesh;

/**
 * Retry budget of all entries together.
 *
 * @param retryShare maximum ratio of retries to requests
 * @param retrySlack number of retries allowed per window on top of that ratio
 * @param retryWindowMillis length of the window
 */
public record EntrySettings(double retryShare, double retrySlack, long retryWindowMillis) {}
