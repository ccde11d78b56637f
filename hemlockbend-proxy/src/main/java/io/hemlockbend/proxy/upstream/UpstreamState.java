package io.hemlockbend.proxy.upstream;

/** Whether the upstream beside the node accepts work. */
public enum UpstreamState {
  /** It has not announced itself yet. */
  UNKNOWN,
  /** It accepts work. */
  UP,
  /** It gets no requests; health checks are sent until one passes. */
  DOWN,
  /** It is leaving and accepts no new work. */
  LEAVING
}
