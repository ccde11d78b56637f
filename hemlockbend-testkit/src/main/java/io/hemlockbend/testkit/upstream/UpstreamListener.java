package io.hemlockbend.testkit.upstream;

import io.hemlockbend.codec.trace.TraceRecord;

/** Receives a record of each request of an upstream; called by several threads. */
@FunctionalInterface
public interface UpstreamListener {
  /** Ignores everything. */
  UpstreamListener NONE = record -> {};

  /** Called for a request that begins to run or exceeds the limit of a cold start. */
  void onRecord(TraceRecord record);
}
