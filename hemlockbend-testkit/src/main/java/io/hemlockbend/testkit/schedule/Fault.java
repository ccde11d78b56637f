package io.hemlockbend.testkit.schedule;

/** What goes wrong. */
public enum Fault {
  /** The process dies and stays away until the faults end. */
  KILL,
  /** The process stands still for seconds and then goes on. */
  FREEZE,
  /** The node's failure domain is cut from the others until the faults end. */
  CUT,
  /** The platform refuses calls until the faults end. */
  PLATFORM_DOWN,
  /** The platform takes seconds for each call until the faults end. */
  PLATFORM_SLOW,
  /** The platform's writes take effect but its answers are lost, for a while. */
  ANSWER_LOST,
  /** The process dies and is started again at once. */
  RESTART,
  /** All processes die and are started again together. */
  HERD_RESTART
}
