package io.hemlockbend.testkit.upstream;

import io.hemlockbend.codec.trace.TraceRecord;

/** Is told of each request that an upstream starts to run; called by several threads. */
@FunctionalInterface
public interface RunListener {
  /** Ignores all runs. */
  RunListener NONE = run -> {};

  /** Takes note of a run. */
  void onRun(TraceRecord.Run run);
}
