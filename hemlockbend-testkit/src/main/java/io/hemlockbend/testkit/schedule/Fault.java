package io.hemlockbend.testkit.schedule;

/** A fault to inject. */
public enum Fault {
  /** The process is killed and stays down until the faults end. */
  KILL,
  /** The process pauses for some seconds and then resumes. */
  FREEZE,
  /** The node's failure domain is partitioned from the others until the faults end. */
  CUT,
  /** The platform fails all calls until the faults end. */
  PLATFORM_DOWN,
  /** The platform takes seconds for each call until the faults end. */
  PLATFORM_SLOW,
  /** The platform's writes take effect but its answers are lost until the faults end. */
  ANSWER_LOST,
  /** The process is killed and restarted. */
  RESTART,
  /** All processes are killed and restarted together. */
  HERD_RESTART
}
