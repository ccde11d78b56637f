package io.hemlockbend.proxy.mesh;

/**
 * Bounds of a node as an entry of callers.
 *
 * @param retryShare retries that all nodes may send, as a part of their requests
 * @param retrySlack retries that all nodes may send beside that in a window
 * @param retryWindowMillis the window
 */
public record EntrySettings(double retryShare, double retrySlack, long retryWindowMillis) {}
