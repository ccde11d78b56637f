package io.hemlockbend.codec.trace;

/** The result of a caller's check of an answer. */
public enum AnswerState {
  /** Complete, and the answer to this request. */
  WHOLE,
  /** A complete refusal or error of the mesh or the upstream. */
  REFUSED,
  /** Detectably truncated: the connection was closed early or the body was too short. */
  BROKEN,
  /** A truncated or altered body that appears complete. */
  DAMAGED,
  /** The answer to another request. */
  CROSSED,
  /** No answer arrived in time. */
  NONE
}
