package io.hemlockbend.testkit.matrix;

/** A fault that is injected when the observed request reaches a step. */
enum Fault {
  KILL_UPSTREAM,
  KILL_NODE,
  KILL_ENTRY,
  FREEZE_UPSTREAM,
  FREEZE_NODE,
  PAUSE_NODE_PAST_CLAIM,
  SILENT_LINK,
  PLATFORM_DOWN,
  WRITE_ANSWER_LOST,
  LATE_WRITE,
  CRASHING_REQUEST,
  RESEND_ELSEWHERE,
  LATE_ANSWER,
  DRAIN,
  WITHDRAW,
  COLD_START
}
