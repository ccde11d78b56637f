package io.hemlockbend.proxy.upstream;

/** Whether the upstream beside the node takes work. */
public enum UpstreamState {
  /** It has not said who it is. */
  UNKNOWN,
  /** It takes work. */
  UP,
  /** It does not answer; it is asked for its health until it does. */
  DOWN,
  /** It leaves and takes no new work. */
  LEAVING
}
