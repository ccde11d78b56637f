package io.hemlockbend.proxy.upstream;

import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.function.Supplier;

/** Logs how requests to the upstream end. */
final class RunEndLog {

  private RunEndLog() {}

  /** Logs an outcome that is no answer, with the load that explains it. */
  static void log(
      DecisionSink sink, RunRequest run, RunEnd end, Supplier<UpstreamLoad> currentLoad) {
    String reason =
        switch (end) {
          case RunEnd.Answered ignored -> null;
          case RunEnd.NotRun notRun -> notRun.reason();
          case RunEnd.Lost lost -> lost.reason();
        };
    if (reason == null) {
      return;
    }
    UpstreamLoad load = currentLoad.get();
    sink.emit(
        end instanceof RunEnd.Lost ? "run-lost" : "not-run",
        run.id(),
        "upstream",
        run.upstream(),
        "why",
        reason,
        "running",
        load.running(),
        "queued",
        load.queued(),
        "limit",
        load.limit(),
        "remainingMillis",
        run.remainingMillis(),
        "targetMillis",
        run.targetMillis());
  }
}
