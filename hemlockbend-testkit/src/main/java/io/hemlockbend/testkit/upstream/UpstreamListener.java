package io.hemlockbend.testkit.upstream;

import io.hemlockbend.codec.trace.TraceRecord;

/** Is told what an upstream does with its requests; called by several threads. */
@FunctionalInterface
public interface UpstreamListener {
  /** Ignores everything. */
  UpstreamListener NONE = record -> {};

  /** Takes note of a request that began to run, or was beyond what a cold start bears. */
  void onRecord(TraceRecord record);
}
