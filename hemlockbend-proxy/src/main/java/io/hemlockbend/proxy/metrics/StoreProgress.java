package io.hemlockbend.proxy.metrics;

/**
 * What a node knows of the platform's store.
 *
 * @param calls calls that were started
 * @param era the latest era seen, which rises when the store was restored from an older copy
 * @param position the version up to which the node has followed the store in that era
 * @param silentMillis how long ago the last response came
 */
public record StoreProgress(long calls, long era, long position, long silentMillis) {
  /** Nothing is known. */
  static final StoreProgress NONE = new StoreProgress(0, 0, 0, 0);
}
