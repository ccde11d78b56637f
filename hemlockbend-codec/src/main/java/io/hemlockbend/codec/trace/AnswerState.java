package io.hemlockbend.codec.trace;

/** What a caller found when it checked an answer. */
public enum AnswerState {
  /** Whole, and the answer to this request. */
  WHOLE,
  /** A refusal or error of the mesh or the upstream, itself whole. */
  REFUSED,
  /** Broken off: the connection was closed or the body was short, and the caller could tell. */
  BROKEN,
  /** A short or altered body that claims to be whole. */
  DAMAGED,
  /** The answer to another request. */
  CROSSED,
  /** No answer came in time. */
  NONE
}
