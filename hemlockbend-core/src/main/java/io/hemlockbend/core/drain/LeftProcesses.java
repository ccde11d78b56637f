package io.hemlockbend.core.drain;

import io.hemlockbend.core.traffic.UpstreamProcess;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The processes of an upstream that have said that they leave. That is final: an announcement that
 * says otherwise was sent before and arrived late.
 */
public final class LeftProcesses {
  /** Bounds the memory; far more than announcements that are still on their way can name. */
  private static final int MAX_PROCESSES = 64;

  private final Set<UpstreamProcess> processes = new LinkedHashSet<>();

  /** Records that a process leaves. */
  public void add(UpstreamProcess process) {
    processes.add(process);
    if (processes.size() > MAX_PROCESSES) {
      processes.remove(processes.iterator().next());
    }
  }

  /** Returns whether a process has said that it leaves. */
  public boolean contains(UpstreamProcess process) {
    return processes.contains(process);
  }
}
